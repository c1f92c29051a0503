// Parts of a ledger segment: the index of live entries, the snapshot's head, and the compaction that writes snapshots
// and deletes the objects they replace.
#pragma once

#include "ledger_p.h"

namespace foxtaildyke
{

/// Number of a batch object in its segment's log.
using log_index = std::uint64_t;

/// Hash that tells records of two writers apart without keeping their names.
[[nodiscard]] std::uint64_t writerHash(std::string_view writer);

/// Keys of a segment's objects. Indices are padded with zeros so that the listing's order is the log's order.
[[nodiscard]] std::string batchPrefix(std::uint32_t segment);
[[nodiscard]] std::string batchKey(std::uint32_t segment, log_index index);
[[nodiscard]] std::string headKey(std::uint32_t segment);
[[nodiscard]] std::string floorKey(std::uint32_t segment);

/// Entries within the retention period, by key.
class ledger_index
{
public:
    explicit ledger_index(std::chrono::seconds retention)
        : m_retention(retention)
    {
    }

    /// Takes a record in log order. @returns whether it is the first of its type for its key.
    bool apply(const ledger_record &record);

    /// @returns what the log says about the record's key, or nothing where it has no record of this type yet.
    [[nodiscard]] std::optional<append_outcome> find(const ledger_record &record) const;

    /// @returns whether the pin of this key is past half of its retention period and has to be written again.
    [[nodiscard]] bool needsRenewal(const ledger_record &record, std::int64_t unixSeconds) const;

    /// @returns the last second at which the record's entry has to be kept.
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
        std::unique_ptr<content> stored; ///< only where there is an answer or there are pins
        std::int64_t expires = 0;
    };
    [[nodiscard]] static std::string keyOf(const ledger_record &record);
    [[nodiscard]] const entry *lookup(const ledger_record &record) const;
    bool applyPin(const ledger_record &record, entry &target) const;

    std::chrono::seconds m_retention;
    std::unordered_map<std::string, entry> m_entries;
    /// Keys by the minute in which they expire; each key of m_entries is in exactly one minute.
    std::map<std::int64_t, std::vector<const std::string *>> m_byMinute;
};

/// Snapshot of a segment: the effective records of all batches before `index`, in log order over the parts.
struct snapshot_head {
    struct part {
        std::string key;
        object_version version = 0;
        std::int64_t expires = 0; ///< after this second the part holds no live entry
    };
    log_index index = 0;
    std::vector<part> parts;
};
[[nodiscard]] std::string encodeHead(const snapshot_head &head);
[[nodiscard]] result<snapshot_head> decodeHead(std::string_view json);

/// An effective record that no snapshot holds yet.
struct unsnapshotted_record {
    log_index index = 0;
    std::int64_t expires = 0;
    std::string encoded;
};

/// Writes snapshots: part objects, then the head by conditional update, then the floor, and only then deletes the batch
/// objects below the floor. A writer that creates a batch reads the floor afterwards; a floor above its index means
/// that the index may have been deleted before, and its batch does not count.
class ledger_compaction
{
public:
    /// @param writer unique for this run of the process; names the part objects.
    ledger_compaction(object_store &store, std::uint32_t segment, std::string writer);
    ~ledger_compaction();
    ledger_compaction(const ledger_compaction &) = delete;
    ledger_compaction &operator=(const ledger_compaction &) = delete;

    /// Called with the head in force after a snapshot was written or lost to another writer.
    using snapshot_done = std::function<void(const snapshot_head &head, object_version version)>;

    /// Starts a snapshot of the batches before `index`. Not while busy().
    /// @param records effective records since `base`, in log order.
    /// @param replaced batch objects before `index` whose versions are known, to be deleted.
    void start(snapshot_head base, object_version baseVersion, log_index index,
               const std::vector<unsnapshotted_record> &records, std::vector<snapshot_head::part> replaced,
               std::int64_t unixSeconds, snapshot_done done);

    [[nodiscard]] bool busy() const;
    void tick(instant now);

private:
    struct implementation;
    std::shared_ptr<implementation> m_impl;
};

/// Most bytes of a batch or part object; the store takes values of up to 1 MB.
inline constexpr std::size_t kMaxObjectBytes = 900000;

} // namespace foxtaildyke
