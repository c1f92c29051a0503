// Controller lease: at most one control process acts for the deployment, as far as clocks allow; where they don't, the
// fencing token tells old orders from new ones. Pure over the object_store port. Section 5 of docs/design.md.
#pragma once

#include "object_store_p.h"

#include <memory>

namespace foxtaildyke
{

/// The object `lease/controller`.
struct lease_record {
    std::string holder; ///< host name and a number unique to the process
    std::uint64_t token = 0; ///< raised by each new holder
    std::uint64_t renewal = 0; ///< raised by each write of a holder
};

[[nodiscard]] std::string encodeLease(const lease_record &record);
[[nodiscard]] result<lease_record> decodeLease(std::string_view json);

class controller_lease
{
public:
    static constexpr std::chrono::milliseconds kPeriod{6000};
    static constexpr std::chrono::milliseconds kRenewPeriod = kPeriod / 3;
    static constexpr std::chrono::milliseconds kActDuration = kPeriod - kPeriod / 3; ///< after a renewal began
    static constexpr std::chrono::milliseconds kClockDriftMargin = kPeriod / 10; ///< clocks that run at different rates

    /// @param holder unique to this process: a restarted process must not take its predecessor's lease for its own.
    controller_lease(object_store &store, std::string holder);
    ~controller_lease();
    controller_lease(const controller_lease &) = delete;
    controller_lease &operator=(const controller_lease &) = delete;

    /// Reads, renews or takes the lease when due.
    /// @param pollEvery how often a process that does not hold the lease looks at it.
    void tick(instant now, std::chrono::milliseconds pollEvery);

    /// @returns whether this process may act for the deployment.
    [[nodiscard]] bool mayAct(instant now) const { return now < m_actUntil; }

    /// @returns whether orders may go to engines that ignore the fencing token: a whole period has passed in which a
    /// paused predecessor has run into its own limit.
    [[nodiscard]] bool mayOrderUnfenced(instant now) const;

    /// Stops acting: an engine has seen a higher token.
    void relinquish();

    /// @returns the fencing token; meaningful while mayAct().
    [[nodiscard]] std::uint64_t token() const { return m_written.token; }

private:
    void readLease();
    void onRead(const result<stored_object> &read);
    void onRecord(const lease_record &record, object_version version);
    void onSeen(object_version version);
    void writeLease(lease_record record);
    void onWritten(const result<object_version> &written);
    void hold();

    object_store &m_store;
    std::string m_holder;
    instant m_now{};
    instant m_nextAt{}; ///< next read or renewal
    bool m_busy = false; ///< a call to the store is open

    std::optional<object_version> m_seenVersion; ///< of the last read or write
    std::optional<instant> m_seenAt; ///< first tick after this version was seen: never earlier than its write
    lease_record m_seen;

    lease_record m_written; ///< newest record that this process tried to write
    instant m_writeStarted{};
    instant m_actUntil{}; ///< zero: not the holder
    instant m_takenAt{}; ///< when this process took the lease
    std::shared_ptr<bool> m_alive; ///< false once destroyed; for callbacks in flight
};

} // namespace foxtaildyke
