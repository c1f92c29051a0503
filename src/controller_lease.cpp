// Controller lease; see controller_lease_p.h.
#include "controller_lease_p.h"

#include <nlohmann/json.hpp>

namespace foxtaildyke
{

namespace
{

constexpr const char *kLeaseKey = "lease/controller";
constexpr std::chrono::milliseconds kRetryDelay{500}; ///< allows three attempts before the holder must stop acting

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

void controller_lease::tick(instant now, std::chrono::milliseconds pollPeriod)
{
    m_now = now;
    if (m_seenVersion && !m_seenAt)
        m_seenAt = now;
    if (m_isCallOpen || now < m_nextCallAt)
        return;
    const bool isHolder = mayAct(now);
    m_nextCallAt = now + (isHolder ? kRenewPeriod : pollPeriod);
    if (isHolder && m_seenVersion)
        return writeLease({m_holder, m_written.token, m_written.renewal + 1});
    readLease();
}

bool controller_lease::mayOrderUnfenced(instant now) const
{
    return mayAct(now) && now - m_acquiredAt >= kPeriod + kClockDriftMargin;
}

void controller_lease::relinquish()
{
    m_actUntil = {};
    m_seenVersion.reset();
    ++m_written.token; // The next term needs a higher token, and this term's record must not be mistaken for it.
}

void controller_lease::readLease()
{
    m_isCallOpen = true;
    m_store.read(kLeaseKey, [this, alive = m_alive](const result<stored_object> &read) {
        if (!*alive)
            return;
        m_isCallOpen = false;
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
    // A corrupt record is replaced like one whose holder has stopped renewing it.
    onRecord(record.has_value() ? record.value() : m_seen, read.value().version);
}

void controller_lease::onRecord(const lease_record &record, object_version version)
{
    m_seen = record;
    setSeenVersion(version);
    const bool isOwn = version != 0 && record.holder == m_holder;
    // The write took effect although its response was lost.
    if (isOwn && record.renewal == m_written.renewal && record.token == m_written.token)
        extendTerm();
    if (isOwn && mayAct(m_now)) {
        m_nextCallAt = m_now;
        return;
    }
    const bool isAbandoned = m_seenAt && m_now - *m_seenAt >= kPeriod;
    if (version == 0 || isOwn || isAbandoned)
        writeLease({m_holder, std::max(record.token, m_written.token) + 1, 1});
}

void controller_lease::setSeenVersion(object_version version)
{
    if (m_seenVersion == version)
        return;
    m_seenVersion = version;
    m_seenAt.reset();
}

void controller_lease::writeLease(lease_record record)
{
    m_isCallOpen = true;
    m_written = std::move(record);
    m_writeStarted = m_now;
    m_store.write(kLeaseKey, encodeLease(m_written), *m_seenVersion,
                  [this, alive = m_alive](const result<object_version> &written) {
                      if (!*alive)
                          return;
                      m_isCallOpen = false;
                      onWritten(written);
                  });
}

void controller_lease::onWritten(const result<object_version> &written)
{
    if (written.has_value()) {
        setSeenVersion(written.value());
        m_seen = m_written;
        return extendTerm();
    }
    if (written.error().code == error_code::conflict) {
        // Either another process holds the lease or an earlier write of this process took effect; the next read shows
        // which.
        m_seenVersion.reset();
        m_nextCallAt = m_now;
        m_actUntil = std::min(m_actUntil, m_now);
        return;
    }
    m_nextCallAt = m_now + kRetryDelay;
    m_seenVersion.reset();
}

void controller_lease::extendTerm()
{
    if (m_written.renewal == 1)
        m_acquiredAt = m_writeStarted;
    m_actUntil = m_writeStarted + kActDuration;
}

} // namespace foxtaildyke
