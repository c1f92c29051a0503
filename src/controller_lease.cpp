// Controller lease; see controller_lease_p.h.
#include "controller_lease_p.h"

#include <nlohmann/json.hpp>

namespace foxtaildyke
{

namespace
{

constexpr const char *kLeaseKey = "lease/controller";
constexpr std::chrono::milliseconds kRetryAfter{500}; ///< leaves three tries before the holder stops acting

} // namespace

std::string encodeLease(const lease_record &record)
{
    const nlohmann::json object{{"holder", record.holder},
                                {"token", record.token},
                                {"renewal", record.renewal},
                                {"period_ms", controller_lease::kPeriod.count()}};
    return object.dump();
}

result<lease_record> decodeLease(std::string_view text)
{
    try {
        const auto object = nlohmann::json::parse(text);
        return lease_record{object.at("holder"), object.at("token"), object.at("renewal")};
    } catch (const nlohmann::json::exception &) {
        return error{error_code::protocol_violation, kLeaseKey};
    }
}

controller_lease::controller_lease(object_store &store, std::string holder)
    : m_store(store)
    , m_holder(std::move(holder))
    , m_alive(std::make_shared<bool>(true))
{
}

controller_lease::~controller_lease()
{
    *m_alive = false;
}

void controller_lease::tick(instant now, std::chrono::milliseconds pollEvery)
{
    m_now = now;
    if (m_seenVersion && !m_seenAt)
        m_seenAt = now;
    if (m_busy || now < m_nextAt)
        return;
    const bool isHolder = mayAct(now);
    m_nextAt = now + (isHolder ? kRenewPeriod : pollEvery);
    if (isHolder && m_seenVersion)
        return writeLease({m_holder, m_written.token, m_written.renewal + 1});
    readLease();
}

bool controller_lease::mayOrderUnfenced(instant now) const
{
    return mayAct(now) && now - m_takenAt >= kPeriod + kClockDriftMargin;
}

void controller_lease::relinquish()
{
    m_actUntil = {};
    m_seenVersion.reset();
    ++m_written.token; // The next term needs a higher one, and the record of this term must not be taken for it.
}

void controller_lease::readLease()
{
    m_busy = true;
    m_store.read(kLeaseKey, [this, alive = m_alive](const result<stored_object> &read) {
        if (!*alive)
            return;
        m_busy = false;
        onRead(read);
    });
}

void controller_lease::onRead(const result<stored_object> &read)
{
    if (read.has_error()) {
        if (read.error().code == error_code::not_found)
            onRecord({}, 0);
        return;
    }
    const auto record = decodeLease(read.value().body);
    // A damaged record is replaced like one whose holder is gone.
    onRecord(record.has_value() ? record.value() : m_seen, read.value().version);
}

void controller_lease::onRecord(const lease_record &record, object_version version)
{
    m_seen = record;
    onSeen(version);
    const bool isOwn = version != 0 && record.holder == m_holder;
    // The answer of the write was lost, but it took effect.
    if (isOwn && record.renewal == m_written.renewal && record.token == m_written.token)
        hold();
    if (isOwn && mayAct(m_now)) {
        m_nextAt = m_now;
        return;
    }
    const bool isAbandoned = m_seenAt && m_now - *m_seenAt >= kPeriod;
    if (version == 0 || isOwn || isAbandoned)
        writeLease({m_holder, std::max(record.token, m_written.token) + 1, 1});
}

void controller_lease::onSeen(object_version version)
{
    if (m_seenVersion == version)
        return;
    m_seenVersion = version;
    m_seenAt.reset();
}

void controller_lease::writeLease(lease_record record)
{
    m_busy = true;
    m_written = std::move(record);
    m_writeStarted = m_now;
    m_store.write(kLeaseKey, encodeLease(m_written), *m_seenVersion,
                  [this, alive = m_alive](const result<object_version> &written) {
                      if (!*alive)
                          return;
                      m_busy = false;
                      onWritten(written);
                  });
}

void controller_lease::onWritten(const result<object_version> &written)
{
    if (written.has_value()) {
        onSeen(written.value());
        m_seen = m_written;
        return hold();
    }
    if (written.error().code == error_code::conflict) {
        // Somebody else holds it, or an earlier write of this process took effect; the next read tells.
        m_seenVersion.reset();
        m_nextAt = m_now;
        m_actUntil = std::min(m_actUntil, m_now);
        return;
    }
    m_nextAt = m_now + kRetryAfter;
    m_seenVersion.reset();
}

void controller_lease::hold()
{
    if (m_written.renewal == 1)
        m_takenAt = m_writeStarted;
    m_actUntil = m_writeStarted + kActDuration;
}

} // namespace foxtaildyke
