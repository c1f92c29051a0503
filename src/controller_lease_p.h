// Controller lease: at most one control process acts for the deployment as long as clock drift stays within bounds;
// beyond that, the fencing token distinguishes old orders from new ones. All I/O goes through the object_store port.
// See section 5 of docs/design.md.
#pragma once

#include "object_store_p.h"

#include <memory>

namespace foxtaildyke
{

/// Content of the object `lease/controller`.
struct lease_record {
    std::string holder; ///< host name and a process-unique number
    std::uint64_t token = 0; ///< incremented by each new holder
    std::uint64_t renewal = 0; ///< incremented by each write of the holder
};

[[nodiscard]] std::string encodeLease(const lease_record &record);
[[nodiscard]] result<lease_record> decodeLease(std::string_view json);

class controller_lease
{
public:
    static constexpr std::chrono::milliseconds kPeriod{6000};
    static constexpr std::chrono::milliseconds kRenewPeriod = kPeriod / 3;
    static constexpr std::chrono::milliseconds kActDuration =
        kPeriod - kPeriod / 3; ///< how long the holder may act after the start of a renewal
    static constexpr std::chrono::milliseconds kClockDriftMargin =
        kPeriod / 10; ///< margin for clocks that run at different rates

    /// @param holder unique to this process: after a restart, a process must not treat the lease of the previous one as
    /// its own.
    controller_lease(object_store &store, std::string holder);
    ~controller_lease();
    controller_lease(const controller_lease &) = delete;
    controller_lease &operator=(const controller_lease &) = delete;

    /// Reads, renews or acquires the lease when due.
    /// @param pollPeriod period at which a process that does not hold the lease reads it.
    void tick(instant now, std::chrono::milliseconds pollPeriod);

    /// @returns whether this process may act for the deployment.
    [[nodiscard]] bool mayAct(instant now) const { return now < m_actUntil; }

    /// @returns whether orders may go to engines that ignore the fencing token: a whole lease period has passed since
    /// the lease was acquired, so the term of a previous holder that was paused has expired.
    [[nodiscard]] bool mayOrderUnfenced(instant now) const;

    /// Ends the term. Called when an engine has rejected the token because it has received a higher one.
    void relinquish();

    /// @returns the fencing token; valid only while mayAct() returns true.
    [[nodiscard]] std::uint64_t token() const { return m_written.token; }

private:
    void readLease();
    void onRead(const result<stored_object> &read);
    void onRecord(const lease_record &record, object_version version);
    void setSeenVersion(object_version version);
    void writeLease(lease_record record);
    void onWritten(const result<object_version> &written);
    void extendTerm();

    object_store &m_store;
    std::string m_holder;
    instant m_now{};
    instant m_nextCallAt{}; ///< time of the next read or renewal
    bool m_isCallOpen = false; ///< a call to the store is in progress

    std::optional<object_version> m_seenVersion; ///< object version of the last read or write
    std::optional<instant> m_seenAt; ///< first tick after this version was seen; never earlier than its write
    lease_record m_seen;

    lease_record m_written; ///< latest record that this process tried to write
    instant m_writeStarted{};
    instant m_actUntil{}; ///< zero if this process is not the holder
    instant m_acquiredAt{}; ///< start of the current term
    std::shared_ptr<bool> m_alive; ///< false after destruction; checked by pending callbacks
};

} // namespace foxtaildyke
