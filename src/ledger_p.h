// Request ledger: claims of non-idempotent requests, bills, and session pins, stored as segments of immutable batch
// objects in the object API. Its safety rests on the store's create-if-absent operation alone.
#pragma once

#include "object_store_p.h"
#include "router_core_p.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace foxtaildyke
{

enum class record_type : std::uint8_t { claim, bill, pin, count };

template <>
struct enum_names<record_type> {
    static constexpr std::array kNames{"claim", "bill", "pin"};
};

/// One entry of a segment. For each key and type, only the first record in log order is effective.
struct ledger_record {
    record_type type = record_type::claim;
    std::string account;
    std::string id; ///< request id, or session id of a pin
    std::string writer; ///< unique id (host, run and counter); distinguishes a retransmitted record from a new one
    std::int64_t unixSeconds = 0; ///< creation time; start of the retention period
    std::string model;
    std::string version;
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
    std::uint64_t costMicroUnits = 0;
    std::string response; ///< JSON of at most kMaxStoredResponseBytes
    std::vector<std::string> pins; ///< version names

    static constexpr std::size_t kMaxStoredResponseBytes = 2048;
};

/// @returns the segment that stores a key.
[[nodiscard]] std::uint32_t segmentOf(std::string_view account, std::string_view id, std::uint32_t segments);

/// Encode one record, or a batch of records, as JSON.
[[nodiscard]] std::string encodeRecord(const ledger_record &record);
[[nodiscard]] std::string joinBatch(std::string_view batchId, const std::vector<std::string> &encodedRecords);
[[nodiscard]] std::string encodeRecords(std::string_view batchId, const std::vector<ledger_record> &records);
struct decoded_batch {
    std::string batchId;
    std::vector<ledger_record> records;
};
[[nodiscard]] result<decoded_batch> decodeRecords(std::string_view json);

/// Result of an append: the state of the record's key according to the log.
struct append_outcome {
    ledger_status status = ledger_status::unavailable;
    std::string response;
    std::vector<std::string> pins;
};
using append_done = std::function<void(append_outcome)>;

/// Timing of a segment.
struct ledger_timing {
    std::chrono::microseconds linger{2000}; ///< group commit: time that the first record of a batch waits for others
    /// Time limit of an append without a confirmed write. Loading a segment and writing its first batch takes five
    /// consecutive calls, and a slow store needs half a second for each.
    std::chrono::microseconds appendTimeout{3000000};
    std::chrono::microseconds retry{50000}; ///< delay after a failed store call
    std::uint64_t snapshotBatches = 256; ///< number of batches after a snapshot at which the next one starts
    /// Rate limit of batches once a burst of `writeBurst` batches is used up. With 16 segments it gives 200 writes and
    /// 200 deletions per second, which leaves the store spare capacity; at 800 requests per second, group commit by
    /// `linger` alone gave 1,368 and 1,229.
    std::chrono::microseconds writePeriod{80000};
    std::uint32_t writeBurst = 25;
};

/// One segment: its index, its position in the log, and the records queued for the next batch.
/// @remarks Runs on a single task, including the store's callbacks. Invariants: m_index contains exactly the live
/// entries of the batches before m_nextIndex; at most one write is in flight.
class ledger_segment
{
public:
    /// @param writer unique for this run of the process: a restarted host must not reuse batch ids of an earlier run.
    ledger_segment(object_store &store, std::uint32_t number, std::string writer, std::chrono::seconds retention,
                   ledger_timing timing = {});
    ~ledger_segment();
    ledger_segment(const ledger_segment &) = delete;
    ledger_segment &operator=(const ledger_segment &) = delete;

    /// Appends a record, or completes it from the index if its key already has one of this type.
    /// @remarks Time limits are measured from the time last set by advance() or tick().
    void append(ledger_record record, append_done done);

    /// Sets the time of the calls that follow, without starting what is due.
    void advance(instant now);

    /// Sets the time, starts due batches and retries, and expires records.
    /// @param unixSeconds wall clock, used to remove entries older than the retention period.
    void tick(instant now, std::int64_t unixSeconds);

    /// Starts reading the log without waiting for the first record.
    void load();

    /// @returns when tick() is next due, or std::nullopt if nothing is pending.
    [[nodiscard]] std::optional<instant> nextTick() const;

    /// @returns whether the index covers the log up to its end.
    [[nodiscard]] bool isLoaded() const;

    /// @returns number of entries in the index.
    [[nodiscard]] std::size_t entries() const;

    /// @returns number of queued and in-flight records.
    [[nodiscard]] std::size_t pendingRecords() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_impl; ///< shared with callbacks in flight
};

} // namespace foxtaildyke
