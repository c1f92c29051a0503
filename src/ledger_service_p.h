// The ledger of one host: sends records to the owner of their segment, writes to the segment itself if the owner does
// not respond, serves appends of other hosts, and retains bills that could not be written. Does I/O only through its
// ports.
#pragma once

#include "ledger_p.h"

#include <set>

namespace foxtaildyke
{

/// Calls to the ledgers of other hosts. Every callback is called exactly once, on the caller's task.
/// @remarks Errors: unavailable means not delivered; after any other error the call may have been executed.
class ledger_peers
{
public:
    using append_batch_done = std::function<void(result<std::vector<append_outcome>>)>;
    using copy_done = std::function<void(result<bool>)>;

    virtual ~ledger_peers() = default;

    /// Sends records to the owner of their segment. @param batch in the format of encodeRecords().
    virtual void append(const std::string &host, std::uint32_t segment, std::string batch, append_batch_done done) = 0;

    /// Stores copies of unwritten bills on a host, and releases earlier copies. @param release writers of the records
    /// whose copies are no longer needed.
    virtual void copyBills(const std::string &host, std::string batch, std::vector<std::string> release,
                           copy_done done) = 0;
};

/// Timing of the service.
struct ledger_service_timing {
    std::chrono::microseconds copyAfter{50000}; ///< a bill that is not written by then is copied to another host
    /// A bill that is neither written nor copied by then is reported as unknown. Covers the time needed to detect a
    /// dead owner and to write to the segment directly.
    std::chrono::microseconds billTimeout{5000000};
    std::chrono::microseconds suspect{2000000}; ///< a host that did not respond is skipped for this long
    std::chrono::microseconds retry{250000}; ///< between attempts to write a retained bill or pin
    /// The holder of a copy writes it after this long without a release; usually the bill's own host writes it first.
    std::chrono::microseconds adoptCopyAfter{5000000};
    ledger_timing segment;
};

class ledger_service
{
public:
    /// @param run unique for this run of the process, so that writer names are unique.
    ledger_service(std::string host, std::string run, object_store &store, ledger_peers &peers,
                   ledger_service_timing timing = {});
    ~ledger_service();
    ledger_service(const ledger_service &) = delete;
    ledger_service &operator=(const ledger_service &) = delete;

    /// Applies registered hosts, segment count and retention. The segment count is fixed by the first configuration:
    /// with another count, keys would map to segments that do not have their records.
    void configure(const router_config_ptr &config);

    /// Sets the hosts that are not live; replaces the previous set.
    void setNotLiveHosts(std::set<std::string> hosts);

    void claim(const write_claim &request, append_done done);
    void bill(const write_bill &request, append_done done);
    void pin(const write_pin &request, append_done done);

    /// Serves the Append call of another host.
    void serveAppend(std::uint32_t segment, std::string_view batch, ledger_peers::append_batch_done done);

    /// Serves the CopyBills call of another host. @returns whether the copies were stored.
    bool serveCopies(const std::string &host, std::string_view batch, const std::vector<std::string> &release);

    /// Sets the time of the calls that follow, without starting what is due. Called before each of them: an idle host
    /// ticks rarely, and time limits counted from its last tick would be over at once.
    /// @param unixSeconds wall clock, for records and retention.
    void advance(instant now, std::int64_t unixSeconds);

    /// Sets the time and starts what is due.
    void tick(instant now, std::int64_t unixSeconds);
    [[nodiscard]] std::optional<instant> nextTick() const;

    /// Retries all unwritten bills at the next tick and refuses new copies.
    void drain();

    /// @returns number of this host's bills that are not known to be in the log.
    [[nodiscard]] std::size_t unwrittenBills() const;
    /// @returns number of unwritten bills without a copy on another host, which would be lost with this host.
    [[nodiscard]] std::size_t uncopiedBills() const;
    /// @returns number of stored copies of other hosts' bills.
    [[nodiscard]] std::size_t storedCopies() const;
    /// @returns number of pins created in memory during a store outage.
    [[nodiscard]] std::size_t memoryPins() const;
    /// @returns number of index entries over all segments in memory.
    [[nodiscard]] std::size_t entries() const;
    /// @returns the host to which records of a segment are sent.
    [[nodiscard]] std::string ownerOf(std::uint32_t segment);

private:
    struct implementation;
    std::shared_ptr<implementation> m_impl; ///< shared with callbacks in flight
};

} // namespace foxtaildyke
