// The ledger of one host: sends records to their segment's owner, writes the segment itself where the owner does not
// answer, serves other hosts' records, and keeps bills that the store does not take. Pure over its ports.
#pragma once

#include "ledger_p.h"

#include <set>

namespace foxtaildyke
{

/// Calls to the ledgers of other hosts. Every callback runs exactly once, on the caller's task.
/// @remarks Errors: unavailable (surely not delivered), all others (may have been carried out).
class ledger_peers
{
public:
    using append_batch_done = std::function<void(result<std::vector<append_outcome>>)>;
    using copy_done = std::function<void(result<bool>)>;

    virtual ~ledger_peers() = default;

    /// Sends records to the owner of their segment. @param batch as encodeRecords() gives it.
    virtual void append(const std::string &host, std::uint32_t segment, std::string batch, append_batch_done done) = 0;

    /// Gives copies of unwritten bills to a host, or takes them back. @param release writers of the records.
    virtual void copyBills(const std::string &host, std::string batch, std::vector<std::string> release,
                           copy_done done) = 0;
};

/// Timing of the service.
struct ledger_service_timing {
    std::chrono::microseconds copyAfter{50000}; ///< a bill is copied when the store has not taken it by then
    /// A bill that is neither written nor copied by then is answered as unknown. Covers the time in which a dead owner
    /// is found and the segment is written directly.
    std::chrono::microseconds billTimeout{5000000};
    std::chrono::microseconds suspect{2000000}; ///< a host that did not answer is left out for this long
    std::chrono::microseconds retry{250000}; ///< between tries to write a kept bill or pin
    /// A copy is written by its holder after this long without a release; the host it came from usually does it first.
    std::chrono::microseconds adoptCopyAfter{5000000};
    ledger_timing segment;
};

class ledger_service
{
public:
    /// @param run unique for this run of the process; makes writer names unique.
    ledger_service(std::string host, std::string run, object_store &store, ledger_peers &peers,
                   ledger_service_timing timing = {});
    ~ledger_service();
    ledger_service(const ledger_service &) = delete;
    ledger_service &operator=(const ledger_service &) = delete;

    /// Takes registered hosts, segment count and retention. The first configuration fixes the segment count: a change
    /// would move keys away from their records.
    void configure(const fleet_ptr &config);

    /// Hosts that are not live; replaces the set before.
    void setGone(std::set<std::string> hosts);

    void claim(const write_claim &request, append_done done);
    void bill(const write_bill &request, append_done done);
    void pin(const write_pin &request, append_done done);

    /// Serves Append of another host.
    void serveAppend(std::uint32_t segment, std::string_view batch, ledger_peers::append_batch_done done);

    /// Serves CopyBills of another host. @returns whether the copies are kept.
    bool serveCopies(const std::string &host, std::string_view batch, const std::vector<std::string> &release);

    /// @param unixSeconds wall clock, for records and retention.
    void tick(instant now, std::int64_t unixSeconds);
    [[nodiscard]] std::optional<instant> nextTick() const;

    /// Tries every kept bill again at once and takes no more copies.
    void drain();

    /// @returns bills of this host that are not in the log yet.
    [[nodiscard]] std::size_t unwrittenBills() const;
    /// @returns bills that would be lost with this host.
    [[nodiscard]] std::size_t uncopiedBills() const;
    /// @returns copies of other hosts' bills.
    [[nodiscard]] std::size_t keptCopies() const;
    /// @returns pins made in memory during an outage.
    [[nodiscard]] std::size_t memoryPins() const;
    /// @returns entries over all segments in memory.
    [[nodiscard]] std::size_t entries() const;
    /// @returns the host that records of a segment are sent to.
    [[nodiscard]] std::string ownerOf(std::uint32_t segment);

private:
    struct implementation;
    std::shared_ptr<implementation> m_impl; ///< shared with callbacks in flight
};

} // namespace foxtaildyke
