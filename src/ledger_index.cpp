// Index of a ledger segment: determines the effective records; see ledger_index_p.h.
#include "ledger_index_p.h"

#include <charconv>

namespace foxtaildyke
{

namespace
{

constexpr std::int64_t kSecondsPerMinute = 60;

/// Entries are kept this much longer than the retention period: wall clocks may differ by this much, so hosts remove an
/// entry at different times.
constexpr std::int64_t kClockSlackSeconds = 60;

/// @returns the creation time in a request id `<unix seconds>-<token>`; 0 if it has none.
std::int64_t createdAt(std::string_view id)
{
    std::int64_t seconds = 0;
    const auto parsed = std::from_chars(id.data(), id.data() + id.size(), seconds);
    const bool isTime = parsed.ec == std::errc{} && parsed.ptr != id.data() + id.size() && *parsed.ptr == '-';
    return isTime ? seconds : 0;
}

/// Limit by which a request id with a future timestamp can extend its entry, since callers' clocks are not trusted.
constexpr std::int64_t kMaxFutureSeconds = 3600;

} // namespace

std::string batchPrefix(std::uint32_t segment)
{
    return "ledger/" + std::to_string(segment) + "/";
}

std::string batchKey(std::uint32_t segment, log_index index)
{
    constexpr std::size_t kIndexDigits = 12;
    const auto digits = std::to_string(index);
    return batchPrefix(segment) + std::string(kIndexDigits - std::min(kIndexDigits, digits.size()), '0') + digits;
}

std::string headKey(std::uint32_t segment)
{
    return "snapshot/" + std::to_string(segment);
}

std::string floorKey(std::uint32_t segment)
{
    return "ledger-floor/" + std::to_string(segment);
}

std::string ledger_index::keyOf(const ledger_record &record)
{
    std::string key(record.type == record_type::pin ? "s" : "r");
    key.reserve(record.account.size() + record.id.size() + 2);
    key += record.account;
    key += '\0';
    key += record.id;
    return key;
}

const ledger_index::entry *ledger_index::lookup(const ledger_record &record) const
{
    const auto found = m_entries.find(keyOf(record));
    return found == m_entries.end() ? nullptr : &found->second;
}

std::int64_t ledger_index::expiryOf(const ledger_record &record) const
{
    const auto created = record.type == record_type::pin ? 0 : createdAt(record.id);
    const auto start = std::max(record.unixSeconds, std::min(created, record.unixSeconds + kMaxFutureSeconds));
    return start + m_retention.count() + kClockSlackSeconds;
}

bool ledger_index::applyPin(const ledger_record &record, entry &target) const
{
    if (!target.stored) {
        target.stored = std::make_unique<content>(content{{}, record.pins});
        return true;
    }
    return target.stored->pins == record.pins && expiryOf(record) > target.expires;
}

bool ledger_index::apply(const ledger_record &record)
{
    const auto [position, isNew] = m_entries.try_emplace(keyOf(record));
    auto &target = position->second;
    const auto hash = writerHash(record.writer);
    bool isEffective = false;
    if (record.type == record_type::pin) {
        isEffective = applyPin(record, target);
    } else if (record.type == record_type::claim && target.claimWriter == 0 && target.billWriter == 0) {
        target.claimWriter = hash;
        isEffective = true;
    } else if (record.type == record_type::bill && target.billWriter == 0) {
        target.billWriter = hash;
        if (!record.response.empty())
            target.stored = std::make_unique<content>(content{record.response, {}});
        isEffective = true;
    }
    if (!isEffective)
        return false;
    target.expires = std::max(target.expires, expiryOf(record));
    if (isNew)
        m_byMinute[target.expires / kSecondsPerMinute].push_back(&position->first);
    return true;
}

std::optional<append_outcome> ledger_index::find(const ledger_record &record) const
{
    const auto *found = lookup(record);
    if (found == nullptr)
        return std::nullopt;
    const auto hash = writerHash(record.writer);
    if (record.type == record_type::pin)
        return append_outcome{ledger_status::exists_pinned, {}, found->stored->pins};
    if (record.type == record_type::claim && found->claimWriter == hash)
        return append_outcome{ledger_status::written, {}, {}};
    if (found->billWriter != 0) {
        if (record.type == record_type::bill && found->billWriter == hash)
            return append_outcome{ledger_status::written, {}, {}};
        return append_outcome{ledger_status::exists_billed, found->stored ? found->stored->response : "", {}};
    }
    if (record.type == record_type::claim && found->claimWriter != 0)
        return append_outcome{ledger_status::exists_open, {}, {}};
    return std::nullopt;
}

bool ledger_index::needsRenewal(const ledger_record &record, std::int64_t unixSeconds) const
{
    const auto *found = record.type == record_type::pin ? lookup(record) : nullptr;
    return found != nullptr && found->expires - unixSeconds < m_retention.count() / 2;
}

void ledger_index::dropExpired(std::int64_t unixSeconds)
{
    while (!m_byMinute.empty() && (m_byMinute.begin()->first + 1) * kSecondsPerMinute <= unixSeconds) {
        const auto minute = m_byMinute.extract(m_byMinute.begin());
        for (const auto *key : minute.mapped()) {
            const auto position = m_entries.find(*key);
            if (position->second.expires < unixSeconds)
                m_entries.erase(position);
            else
                m_byMinute[position->second.expires / kSecondsPerMinute].push_back(key);
        }
    }
}

void ledger_index::clear()
{
    m_byMinute.clear();
    m_entries.clear();
}

} // namespace foxtaildyke
