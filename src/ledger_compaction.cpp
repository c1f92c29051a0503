// Writes snapshots of a ledger segment and deletes the objects that they replace; see ledger_index_p.h.
#include "ledger_index_p.h"

#include <charconv>

namespace foxtaildyke
{

namespace
{

constexpr std::chrono::microseconds kRetryUs{100000};
constexpr std::size_t kSweepListLimit = 64; ///< orphans removed per snapshot; the next snapshot handles the rest

log_index indexOfKey(std::string_view key)
{
    log_index index = 0;
    const auto start = key.rfind('/') + 1;
    std::from_chars(key.data() + start, key.data() + key.size(), index);
    return index;
}

/// Body of a snapshot part below the store's size limit, with the latest expiry of its records.
struct part_body {
    std::string body;
    std::int64_t expires = 0;
};

std::vector<part_body> makeParts(const std::vector<unsnapshotted_record> &records)
{
    std::vector<part_body> parts;
    std::vector<std::string> encoded;
    std::size_t bytes = 0;
    std::int64_t expires = 0;
    const auto close = [&] {
        if (!encoded.empty())
            parts.push_back({joinBatch("snapshot", encoded), expires});
        encoded.clear();
        bytes = 0;
        expires = 0;
    };
    for (const auto &record : records) {
        if (bytes + record.encoded.size() > kMaxObjectBytes)
            close();
        bytes += record.encoded.size() + 1;
        expires = std::max(expires, record.expires);
        encoded.push_back(record.encoded);
    }
    close();
    return parts;
}

} // namespace

struct ledger_compaction::implementation : std::enable_shared_from_this<implementation> {
    /// Purpose of the next store call.
    enum class step : std::uint8_t {
        idle, ///< no snapshot in progress
        part, ///< write the next part
        part_version, ///< read a part whose write conflicted, for its version
        head, ///< replace the head
        head_check, ///< read the head after a conflict to find out whose it is
        floor, ///< read and raise the floor
        remove, ///< delete the objects in m_removals
        list, ///< list batch objects to find orphans
        orphan ///< read and delete an orphan
    };

    implementation(object_store &store, std::uint32_t segment, std::string writer)
        : m_store(store)
        , m_segment(segment)
        , m_writer(std::move(writer))
    {
    }

private:
    friend class ledger_compaction;

    object_store &m_store;
    std::uint32_t m_segment;
    std::string m_writer;
    std::uint64_t m_counter = 0; ///< for unique part keys
    step m_step = step::idle;
    bool m_busy = false; ///< a store call is in flight
    bool m_closed = false;
    instant m_now{};
    instant m_retryAt{};
    std::vector<part_body> m_bodies; ///< parts still to be written, in reverse order
    std::vector<std::string> m_ownParts; ///< keys of the parts written for this snapshot
    std::string m_partKey; ///< of m_bodies.back()
    snapshot_head m_head; ///< the head to be written
    object_version m_baseVersion = 0;
    std::vector<snapshot_head::part> m_removals; ///< objects to delete once the floor is written
    std::deque<std::string> m_orphans; ///< batch objects below the floor
    bool m_lostRace = false; ///< another writer's head replaced the base first
    snapshot_done m_done;

    /// @returns a store callback that passes the result to `next` and starts the next call. It does nothing after
    /// destruction.
    template <typename value_type>
    auto then(void (implementation::*next)(value_type))
    {
        m_busy = true;
        return [self = this->shared_from_this(), next](value_type value) {
            self->m_busy = false;
            if (self->m_closed)
                return;
            (self.get()->*next)(std::move(value));
            self->run();
        };
    }

    void retry() { m_retryAt = m_now + kRetryUs; }

    void run()
    {
        if (m_busy || m_closed || m_now < m_retryAt)
            return;
        switch (m_step) {
        case step::idle:
            return;
        case step::part:
            return writePart();
        case step::part_version:
            return m_store.read(m_partKey, then(&implementation::onPartVersion));
        case step::head:
            return m_store.write(headKey(m_segment), encodeHead(m_head), m_baseVersion, then(&implementation::onHead));
        case step::head_check:
            return m_store.read(headKey(m_segment), then(&implementation::onHeadCheck));
        case step::floor:
            return m_store.read(floorKey(m_segment), then(&implementation::onFloorRead));
        case step::remove:
            return removeNext();
        case step::list:
            return m_store.list(batchPrefix(m_segment), "", kSweepListLimit, then(&implementation::onList));
        case step::orphan:
            return m_store.read(m_orphans.front(), then(&implementation::onOrphan));
        }
    }

    void writePart()
    {
        if (m_bodies.empty()) {
            m_step = step::head;
            return run();
        }
        if (m_partKey.empty())
            m_partKey =
                "snapshot-part/" + std::to_string(m_segment) + "/" + m_writer + "-" + std::to_string(++m_counter);
        m_store.write(m_partKey, m_bodies.back().body, 0, then(&implementation::onPart));
    }

    void onPart(result<object_version> written)
    {
        if (written.has_value())
            return addPart(written.value());
        // The key is unique: a conflict means that an earlier attempt wrote the part, but its response was lost.
        if (written.error().code == error_code::conflict)
            m_step = step::part_version;
        else
            retry();
    }

    void onPartVersion(result<stored_object> found)
    {
        if (found.has_value())
            return addPart(found.value().version);
        retry();
    }

    void addPart(object_version version)
    {
        m_head.parts.push_back({m_partKey, version, m_bodies.back().expires});
        m_ownParts.push_back(m_partKey);
        m_partKey.clear();
        m_bodies.pop_back();
        m_step = step::part;
    }

    void onHead(result<object_version> written)
    {
        if (written.has_value())
            return adoptOwnHead(m_head, written.value());
        if (written.error().code == error_code::conflict)
            m_step = step::head_check;
        else
            retry(); // if only the response was lost, the retry conflicts with this writer's own head
    }

    void onHeadCheck(result<stored_object> found)
    {
        if (found.has_error())
            return retry();
        const auto head = decodeHead(found.value().body);
        if (head.has_error())
            return finish();
        const auto isOwn = [&](const auto &part) {
            return std::ranges::find(m_ownParts, part.key) != m_ownParts.end();
        };
        const bool isWon = std::ranges::any_of(head.value().parts, isOwn) || found.value().body == encodeHead(m_head);
        if (isWon)
            return adoptOwnHead(head.value(), found.value().version);
        discardOwnParts(head.value(), found.value().version);
    }

    void adoptOwnHead(const snapshot_head &head, object_version version)
    {
        m_step = step::floor;
        m_done(head, version);
    }

    /// No head refers to this writer's parts, and none will, since the head's version has changed. Batches are not
    /// deleted: this writer's index may be above that of the current head, and the other writer may not have raised the
    /// floor yet.
    void discardOwnParts(const snapshot_head &head, object_version version)
    {
        m_removals.clear();
        std::ranges::copy_if(m_head.parts, std::back_inserter(m_removals), [&](const auto &part) {
            return std::ranges::find(m_ownParts, part.key) != m_ownParts.end();
        });
        m_step = step::remove;
        m_lostRace = true;
        m_done(head, version);
    }

    void onFloorRead(result<stored_object> found)
    {
        if (found.has_error() && found.error().code != error_code::not_found)
            return retry();
        const bool exists = found.has_value();
        log_index floor = 0;
        if (exists)
            std::from_chars(found.value().body.data(), found.value().body.data() + found.value().body.size(), floor);
        if (floor >= m_head.index) { // the floor never decreases
            m_step = step::remove;
            return;
        }
        m_store.write(floorKey(m_segment), std::to_string(m_head.index), exists ? found.value().version : 0,
                      then(&implementation::onFloorWritten));
    }

    /// On a conflict or a failure the floor is read again, so that nothing is deleted before the new floor is stored.
    void onFloorWritten(result<object_version> written)
    {
        if (written.has_value())
            m_step = step::remove;
        else if (written.error().code != error_code::conflict)
            retry();
    }

    void removeNext()
    {
        if (m_removals.empty()) {
            if (m_lostRace)
                return finish();
            m_step = step::list;
            return run();
        }
        const auto &next = m_removals.back();
        m_store.remove(next.key, next.version, then(&implementation::onRemoved));
    }

    /// A failed removal leaves an orphan, which the next snapshot finds in its listing.
    void onRemoved(result<void> removed)
    {
        const bool isUnavailable = removed.has_error() && removed.error().code != error_code::not_found
            && removed.error().code != error_code::conflict;
        m_removals.pop_back();
        if (isUnavailable)
            retry();
    }

    void onList(result<std::vector<std::string>> keys)
    {
        if (keys.has_error())
            return finish();
        std::ranges::copy_if(keys.value(), std::back_inserter(m_orphans),
                             [&](const auto &key) { return indexOfKey(key) < m_head.index; });
        if (m_orphans.empty())
            return finish();
        m_step = step::orphan;
    }

    void onOrphan(result<stored_object> found)
    {
        const auto key = m_orphans.front();
        m_orphans.pop_front();
        if (m_orphans.empty())
            finish();
        if (found.has_value())
            m_store.remove(key, found.value().version, [](const result<void> &) {});
    }

    void finish()
    {
        m_step = step::idle;
        m_orphans.clear();
        m_removals.clear();
    }
};

ledger_compaction::ledger_compaction(object_store &store, std::uint32_t segment, std::string writer)
    : m_impl(std::make_shared<implementation>(store, segment, std::move(writer)))
{
}

ledger_compaction::~ledger_compaction()
{
    m_impl->m_closed = true;
}

void ledger_compaction::start(snapshot_head base, object_version baseVersion, log_index index,
                              const std::vector<unsnapshotted_record> &records,
                              std::vector<snapshot_head::part> replaced, std::int64_t unixSeconds, snapshot_done done)
{
    auto &job = *m_impl;
    job.m_bodies = makeParts(records);
    std::ranges::reverse(job.m_bodies);
    job.m_ownParts.clear();
    job.m_lostRace = false;
    job.m_partKey.clear();
    job.m_head = {index, {}};
    job.m_removals = std::move(replaced);
    for (auto &part : base.parts)
        (part.expires < unixSeconds ? job.m_removals : job.m_head.parts).push_back(std::move(part));
    job.m_baseVersion = baseVersion;
    job.m_done = std::move(done);
    job.m_step = implementation::step::part;
    job.run();
}

bool ledger_compaction::busy() const
{
    return m_impl->m_step != implementation::step::idle;
}

void ledger_compaction::tick(instant now)
{
    m_impl->m_now = now;
    m_impl->run();
}

} // namespace foxtaildyke
