// Request ledger: claims of non-idempotent requests, bills, and session pins, kept as segments of immutable batch
// objects in the object API. The store's create-if-absent is the only source of safety.
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

/// One entry of a segment. For each type the first record of a key in log order counts.
struct ledger_record {
    record_type type = record_type::claim;
    std::string account;
    std::string id; ///< request id, or session id of a pin
    std::string writer; ///< host and a number unique in it; tells a record that was sent twice from a second one
    std::int64_t unixSeconds = 0; ///< for the retention period
    std::string model;
    std::string version;
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
    std::uint64_t costMicroUnits = 0;
    std::string response; ///< JSON of at most kMaxStoredResponseBytes
    std::vector<std::string> pins; ///< version names

    static constexpr std::size_t kMaxStoredResponseBytes = 2048;
};

/// @returns the segment of a key.
[[nodiscard]] std::uint32_t segmentOf(std::string_view account, std::string_view id, std::uint32_t segments);

/// JSON form of one record, and of a batch of such forms.
[[nodiscard]] std::string encodeRecord(const ledger_record &record);
[[nodiscard]] std::string joinBatch(std::string_view batchId, const std::vector<std::string> &encodedRecords);
[[nodiscard]] std::string encodeRecords(std::string_view batchId, const std::vector<ledger_record> &records);
struct decoded_batch {
    std::string batchId;
    std::vector<ledger_record> records;
};
[[nodiscard]] result<decoded_batch> decodeRecords(std::string_view json);

/// Answer to an append: what the log says about the record's key.
struct append_outcome {
    ledger_status status = ledger_status::unavailable;
    std::string response;
    std::vector<std::string> pins;
};
using append_done = std::function<void(append_outcome)>;

/// Timing of a segment.
struct ledger_timing {
    std::chrono::microseconds linger{2000}; ///< group commit: how long the first record of a batch waits for others
    /// After this long without a settled write a record is answered. Loading a segment and writing its first batch
    /// takes five calls in a row, which a slow store answers in half a second each.
    std::chrono::microseconds appendTimeout{3000000};
    std::chrono::microseconds retry{50000}; ///< pause after a failed call of the store
    std::uint64_t snapshotBatches = 256;
    /// Pace of batches once `writeBurst` batches came faster: 16 segments then make 200 writes and 200 deletions a
    /// second, which leaves the store room; at 800 requests a second the linger alone made 1,368 and 1,229.
    std::chrono::microseconds writePeriod{80000};
    std::uint32_t writeBurst = 25;
};

/// One segment: its index, the log position, and the records waiting for the next batch.
/// @remarks Single task; the store's callbacks come on the same task. Invariants: m_index holds exactly the live
/// entries of the batches before m_nextIndex; at most one write is in flight.
class ledger_segment
{
public:
    /// @param writer unique for this run of the process: a restarted host must not reuse the batch ids of the run
    /// before.
    ledger_segment(object_store &store, std::uint32_t number, std::string writer, std::chrono::seconds retention,
                   ledger_timing timing = {});
    ~ledger_segment();
    ledger_segment(const ledger_segment &) = delete;
    ledger_segment &operator=(const ledger_segment &) = delete;

    /// Appends a record, or answers from the index where its key already has one of this type.
    /// @remarks Times count from the last tick().
    void append(ledger_record record, append_done done);

    /// Drives batches and retries.
    /// @param unixSeconds wall clock, to drop entries older than the retention period.
    void tick(instant now, std::int64_t unixSeconds);

    /// Reads the log now, without waiting for a record.
    void load();

    /// @returns when tick() is due next, or nothing.
    [[nodiscard]] std::optional<instant> nextTick() const;

    /// @returns whether the index was read up to the end of the log.
    [[nodiscard]] bool isLoaded() const;

    /// @returns entries in the index.
    [[nodiscard]] std::size_t entries() const;

    /// @returns records without an answer.
    [[nodiscard]] std::size_t waiting() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_impl; ///< shared with callbacks in flight
};

} // namespace foxtaildyke
