// Components of a ledger segment: the index of live entries, the snapshot head, and the compaction that writes
// snapshots and deletes the objects that they replace.
#pragma once

#include "ledger_p.h"

namespace foxtaildyke
{

/// Position of a batch object in its segment's log.
using log_index = std::uint64_t;

/// Hash of a writer's name, compared in place of the name to save memory.
[[nodiscard]] std::uint64_t writerHash(std::string_view writer);

/// Object keys of a segment. Indices are zero-padded so that the order of a listing is the order of the log.
[[nodiscard]] std::string batchPrefix(std::uint32_t segment);
[[nodiscard]] std::string batchKey(std::uint32_t segment, log_index index);
[[nodiscard]] std::string headKey(std::uint32_t segment);
[[nodiscard]] std::string floorKey(std::uint32_t segment);

/// Entries within their retention period, by key.
class ledger_index
{
public:
    explicit ledger_index(std::chrono::seconds retention)
        : m_retention(retention)
    {
    }

    /// Applies a record; records must come in log order. @returns whether the record is effective: the first of its
    /// type for its key, or the renewal of a pin.
    bool apply(const ledger_record &record);

    /// @returns the state of the record's key, or std::nullopt if it has no record of this type yet.
    [[nodiscard]] std::optional<append_outcome> find(const ledger_record &record) const;

    /// @returns whether the pin of this key is past half of its retention period and must be written again.
    [[nodiscard]] bool needsRenewal(const ledger_record &record, std::int64_t unixSeconds) const;

    /// @returns the last second for which the record's entry must be retained.
    [[nodiscard]] std::int64_t expiryOf(const ledger_record &record) const;

    void dropExpired(std::int64_t unixSeconds);
    void clear();
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    struct content {
        std::string response;
        std::vector<std::string> pins;
    };
    struct entry {
        std::uint64_t claimWriter = 0; ///< 0: no claim
        std::uint64_t billWriter = 0; ///< 0: no bill
        std::unique_ptr<content> stored; ///< null if the entry has neither a response nor pins
        std::int64_t expires = 0;
    };
    [[nodiscard]] static std::string keyOf(const ledger_record &record);
    [[nodiscard]] const entry *lookup(const ledger_record &record) const;
    bool applyPin(const ledger_record &record, entry &target) const;

    std::chrono::seconds m_retention;
    std::unordered_map<std::string, entry> m_entries;
    /// Keys by the minute of their expiry; each key of m_entries is listed in exactly one minute.
    std::map<std::int64_t, std::vector<const std::string *>> m_byMinute;
};

/// Snapshot of a segment: the effective records of all batches before `index`, in log order across the parts.
struct snapshot_head {
    struct part {
        std::string key;
        object_version version = 0;
        std::int64_t expires = 0; ///< the part has no live entry after this second
    };
    log_index index = 0;
    std::vector<part> parts;
};
[[nodiscard]] std::string encodeHead(const snapshot_head &head);
[[nodiscard]] result<snapshot_head> decodeHead(std::string_view json);

/// An effective record that is not in a snapshot yet.
struct unsnapshotted_record {
    log_index index = 0;
    std::int64_t expires = 0;
    std::string encoded;
};

/// Writes snapshots in this order: part objects, the head by conditional update, the floor (the lowest log index in
/// use), and only then deletes the batch objects below the floor. A writer reads the floor after it has created a
/// batch. If the floor is above the batch's index, an earlier batch at that index may have been deleted, so the new one
/// is not part of the log.
class ledger_compaction
{
public:
    /// @param writer unique for this run of the process; names the part objects.
    ledger_compaction(object_store &store, std::uint32_t segment, std::string writer);
    ~ledger_compaction();
    ledger_compaction(const ledger_compaction &) = delete;
    ledger_compaction &operator=(const ledger_compaction &) = delete;

    /// Receives the current head once this snapshot was written or another writer's snapshot replaced the base.
    using snapshot_done = std::function<void(const snapshot_head &head, object_version version)>;

    /// Starts a snapshot of the batches before `index`. Must not be called while busy().
    /// @param records effective records that `base` does not contain, in log order.
    /// @param replaced batch objects before `index` with known versions, to be deleted.
    void start(snapshot_head base, object_version baseVersion, log_index index,
               const std::vector<unsnapshotted_record> &records, std::vector<snapshot_head::part> replaced,
               std::int64_t unixSeconds, snapshot_done done);

    [[nodiscard]] bool busy() const;
    void tick(instant now);

private:
    struct implementation;
    std::shared_ptr<implementation> m_impl;
};

/// Size limit of a batch or part object in bytes; the store accepts values of up to 1 MB.
inline constexpr std::size_t kMaxObjectBytes = 900000;

} // namespace foxtaildyke
