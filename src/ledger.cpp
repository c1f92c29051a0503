// One segment of the request ledger: loads the log, writes batches at the next index, and answers appends; see
// ledger_p.h and section 6 of docs/design.md.
#include "ledger_index_p.h"

#include <charconv>
#include <set>

namespace foxtaildyke
{

namespace
{

/// After this many lost races in a row the log is read to its end instead of trying one index after the other.
constexpr int kRacesBeforeCatchUp = 2;

/// Smallest pause that nextTick() asks for, so that a caller's timer can't spin.
constexpr std::chrono::microseconds kMinTickUs{1000};

bool mayHaveWritten(const error &failure)
{
    return failure.code != error_code::unavailable && failure.code != error_code::conflict;
}

} // namespace

struct ledger_segment::implementation : std::enable_shared_from_this<implementation> {
    /// What the next call of the store is for.
    enum class step : std::uint8_t {
        head, ///< read the snapshot's head
        part, ///< read the snapshot's parts
        log, ///< read batches up to the end of the log
        verify, ///< read the floor: did what was read or written still count?
        ready, ///< nothing pending; the next batch may be formed
        write, ///< create the batch at m_nextIndex
        settle, ///< read m_nextIndex to learn whose batch it holds
    };

    struct waiting_record {
        ledger_record record;
        std::string encoded;
        append_done done; ///< empty once answered
        instant since{};
        bool refreshed = false; ///< the log was read to its end after this claim met an open one
        bool maybeWritten = false; ///< an earlier batch with it may count; cleared once the log was verified
    };

    implementation(object_store &store, std::uint32_t number, std::string writer, std::chrono::seconds retention,
                   ledger_timing timing)
        : m_store(store)
        , m_number(number)
        , m_writer(std::move(writer))
        , m_timing(timing)
        , m_index(retention)
        , m_compaction(store, number, m_writer)
    {
    }

private:
    friend class ledger_segment;

    object_store &m_store;
    std::uint32_t m_number;
    std::string m_writer;
    ledger_timing m_timing;
    ledger_index m_index;
    ledger_compaction m_compaction;

    step m_step = step::head;
    bool m_busy = false; ///< a call of the store is in flight
    bool m_running = false; ///< inside run()
    bool m_closed = false; ///< the segment is gone
    bool m_loaded = false; ///< the index was read up to the end of the log and verified
    bool m_wanted = false; ///< load without waiting for a record
    bool m_outage = false; ///< the last call was refused
    instant m_now{};
    instant m_retryAt{};
    std::int64_t m_unixSeconds = 0;

    snapshot_head m_head; ///< the snapshot that the index was built from, or a later one that it covers
    object_version m_headVersion = 0;
    std::size_t m_nextPart = 0; ///< while loading
    log_index m_nextIndex = 0; ///< the log is known up to here
    std::optional<log_index> m_unverifiedFrom; ///< first batch taken from a read since the floor was last read
    std::deque<unsnapshotted_record> m_unsnapshot; ///< effective records at and after m_head.index, in log order
    std::map<log_index, object_version> m_batchVersions; ///< batch objects at and after m_head.index

    std::deque<waiting_record> m_queue;
    std::vector<waiting_record> m_batch; ///< in flight or unsettled; at most one batch at a time
    std::string m_batchId;
    std::string m_batchBody;
    std::uint64_t m_batchCounter = 0;
    object_version m_batchVersion = 0;
    bool m_uncertain = false; ///< m_batch may be in the log
    int m_lostRaces = 0; ///< in a row
    instant m_paidUntil{}; ///< end of the period that the last batches use up at the pace of writePeriod

    std::vector<std::pair<append_done, append_outcome>> m_replies; ///< given at the end of the current entry

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
            self->giveReplies();
        };
    }

    void answer(waiting_record &waiting, append_outcome reply)
    {
        if (waiting.done)
            m_replies.emplace_back(std::exchange(waiting.done, nullptr), std::move(reply));
    }

    /// Callbacks may append again, so they run last.
    void giveReplies()
    {
        const auto replies = std::exchange(m_replies, {});
        for (const auto &[done, reply] : replies)
            done(reply);
    }

    [[nodiscard]] bool hasWork() const { return !m_queue.empty() || !m_batch.empty() || (m_wanted && !m_loaded); }

    /// Starts calls until one is in flight or nothing is due. A loop, as a store may answer within the call.
    void run()
    {
        if (m_running)
            return;
        m_running = true;
        while (!m_busy && !m_closed && m_now >= m_retryAt && startCall()) { }
        m_running = false;
    }

    /// @returns whether a step was taken.
    bool startCall()
    {
        switch (m_step) {
        case step::head:
            if (hasWork())
                m_store.read(headKey(m_number), then(&implementation::onHead));
            return hasWork();
        case step::part:
            readPart();
            return true;
        case step::log:
            m_store.read(batchKey(m_number, m_nextIndex), then(&implementation::onLog));
            return true;
        case step::verify:
            m_store.read(floorKey(m_number), then(&implementation::onFloor));
            return true;
        case step::ready:
            return startBatch();
        case step::write:
            m_store.write(batchKey(m_number, m_nextIndex), m_batchBody, 0, then(&implementation::onWritten));
            return true;
        case step::settle:
            m_store.read(batchKey(m_number, m_nextIndex), then(&implementation::onSettled));
            return true;
        }
        return false;
    }

    /// Waits before the next call. Where the store has refused, waiting records are answered at once: a caller is
    /// refused faster than the outage ends.
    void backOff(const error &failure)
    {
        m_retryAt = m_now + m_timing.retry;
        m_outage = failure.code == error_code::unavailable;
        if (!m_outage)
            return;
        for (auto &waiting : m_queue)
            refuse(waiting);
        m_queue.clear();
    }

    /// Answers a queued record that is given up.
    void refuse(waiting_record &waiting)
    {
        const auto reply = m_index.find(waiting.record);
        const bool isVerified = m_loaded && !m_unverifiedFrom;
        if (waiting.maybeWritten || (reply && !isVerified))
            return answer(waiting, {ledger_status::unknown, {}, {}});
        answer(waiting, reply.value_or(append_outcome{}));
    }

    // Loading.

    /// Forgets the log and reads it again from the snapshot.
    void reset()
    {
        requeueBatch();
        m_index.clear();
        m_unsnapshot.clear();
        m_batchVersions.clear();
        m_unverifiedFrom.reset();
        m_loaded = false;
        m_step = step::head;
    }

    void onHead(result<stored_object> found)
    {
        if (found.has_error() && found.error().code != error_code::not_found)
            return backOff(found.error());
        m_outage = false;
        m_head = {};
        m_headVersion = 0;
        if (found.has_value()) {
            auto head = decodeHead(found.value().body);
            if (head.has_error())
                return backOff({error_code::unavailable, "snapshot"});
            m_head = std::move(head.value());
            m_headVersion = found.value().version;
        }
        m_index.clear();
        m_nextPart = 0;
        m_nextIndex = m_head.index;
        m_step = step::part;
    }

    void readPart()
    {
        if (m_nextPart < m_head.parts.size()) {
            m_store.read(m_head.parts[m_nextPart].key, then(&implementation::onPart));
            return;
        }
        m_step = step::log;
    }

    void onPart(result<stored_object> found)
    {
        if (found.has_error() && found.error().code != error_code::not_found)
            return backOff(found.error());
        m_outage = false;
        if (found.has_error()) { // a later snapshot has dropped it
            m_step = step::head;
            return;
        }
        const auto batch = decodeRecords(found.value().body);
        if (batch.has_error())
            return backOff({error_code::unavailable, "snapshot part"});
        for (const auto &record : batch.value().records)
            m_index.apply(record);
        ++m_nextPart;
    }

    void onLog(result<stored_object> found)
    {
        if (found.has_value()) {
            m_outage = false;
            const auto batch = decodeRecords(found.value().body);
            if (batch.has_error())
                return backOff({error_code::unavailable, "batch"});
            return fold(batch.value(), found.value().version);
        }
        if (found.error().code != error_code::not_found)
            return backOff(found.error());
        m_outage = false;
        if (!m_unverifiedFrom)
            m_unverifiedFrom = m_nextIndex;
        m_step = step::verify;
    }

    /// Takes the batch of another writer, or one of this writer after a reset, at m_nextIndex.
    void fold(const decoded_batch &batch, object_version version)
    {
        if (!m_unverifiedFrom)
            m_unverifiedFrom = m_nextIndex;
        for (const auto &record : batch.records)
            applyRecord(record, nullptr);
        m_batchVersions[m_nextIndex] = version;
        ++m_nextIndex;
    }

    bool applyRecord(const ledger_record &record, const std::string *encoded)
    {
        if (!m_index.apply(record))
            return false;
        m_unsnapshot.push_back(
            {m_nextIndex, m_index.expiryOf(record), encoded != nullptr ? *encoded : encodeRecord(record)});
        return true;
    }

    /// The floor rises before objects below it are deleted. A floor read after a batch was read or created that is not
    /// above the batch's index shows that this index had not been deleted, so the batch is the only one that was ever
    /// there.
    void onFloor(result<stored_object> found)
    {
        if (found.has_error() && found.error().code != error_code::not_found)
            return backOff(found.error());
        m_outage = false;
        log_index floor = 0;
        if (found.has_value())
            std::from_chars(found.value().body.data(), found.value().body.data() + found.value().body.size(), floor);
        if (floor > std::min(m_nextIndex, m_unverifiedFrom.value_or(m_nextIndex)))
            return reset();
        m_unverifiedFrom.reset();
        m_step = step::ready;
        m_loaded = true;
        for (auto &waiting : m_queue)
            waiting.maybeWritten = false; // it would be in the index
        if (!m_batch.empty())
            landBatch();
    }

    // Batches.

    /// @returns whether a batch or a read was started.
    bool startBatch()
    {
        if (m_queue.empty() || m_now < dueAt())
            return false;
        if (m_unverifiedFrom) {
            m_step = step::verify;
            return true;
        }
        if (refreshOpenClaims()) {
            m_step = step::log;
            return true;
        }
        fillBatch();
        if (m_batch.empty())
            return false;
        m_paidUntil = std::max(m_paidUntil, m_now) + m_timing.writePeriod;
        m_batchId = m_writer + "-" + std::to_string(++m_batchCounter);
        std::vector<std::string> encoded(m_batch.size());
        std::ranges::transform(m_batch, encoded.begin(), &waiting_record::encoded);
        m_batchBody = joinBatch(m_batchId, encoded);
        m_uncertain = false;
        m_step = step::write;
        return true;
    }

    /// The first record's linger, or the pace where the last batches came too fast.
    [[nodiscard]] instant dueAt() const
    {
        return std::max(m_queue.front().since + m_timing.linger,
                        m_paidUntil - m_timing.writePeriod * m_timing.writeBurst);
    }

    /// A claim that meets an open claim may have been billed by another host meanwhile.
    /// @returns whether the log has to be read before such claims are answered.
    bool refreshOpenClaims()
    {
        bool isNeeded = false;
        for (auto &waiting : m_queue) {
            const auto reply = m_index.find(waiting.record);
            isNeeded = isNeeded || (!waiting.refreshed && reply && reply->status == ledger_status::exists_open);
        }
        for (auto &waiting : m_queue)
            waiting.refreshed = waiting.refreshed || isNeeded;
        return isNeeded;
    }

    /// Moves records from the queue to the batch, as many as fit. Records whose key has one already are answered; a
    /// second one of a key in the batch waits until the first is in the log.
    void fillBatch()
    {
        std::set<std::tuple<record_type, std::string, std::string>> keys;
        std::deque<waiting_record> left;
        std::size_t bytes = 0;
        for (auto &waiting : m_queue) {
            if (const auto reply = m_index.find(waiting.record)) {
                answer(waiting, *reply);
                if (!m_index.needsRenewal(waiting.record, m_unixSeconds))
                    continue;
                waiting.record.pins = reply->pins;
                waiting.encoded = encodeRecord(waiting.record);
            }
            const auto &record = waiting.record;
            const bool fits = left.empty() && bytes + waiting.encoded.size() < kMaxObjectBytes;
            if (!fits || !keys.emplace(record.type, record.account, record.id).second) {
                left.push_back(std::move(waiting));
                continue;
            }
            bytes += waiting.encoded.size() + 1;
            m_batch.push_back(std::move(waiting));
        }
        m_queue = std::move(left);
    }

    void onWritten(result<object_version> written)
    {
        if (written.has_value()) {
            m_outage = false;
            m_uncertain = true; // until the floor is read
            m_batchVersion = written.value();
            m_step = step::verify;
            return;
        }
        const auto &failure = written.error();
        m_uncertain = m_uncertain || mayHaveWritten(failure);
        if (failure.code == error_code::conflict || mayHaveWritten(failure))
            m_step = step::settle;
        if (failure.code == error_code::conflict)
            return;
        if (!m_uncertain)
            dropBatch();
        backOff(failure);
    }

    /// The store has refused: nothing was written.
    void dropBatch()
    {
        for (auto &waiting : m_batch)
            answer(waiting, {ledger_status::unavailable, {}, {}});
        m_batch.clear();
        m_step = step::ready;
    }

    void onSettled(result<stored_object> found)
    {
        if (found.has_error() && found.error().code != error_code::not_found)
            return backOff(found.error());
        m_outage = false;
        if (found.has_error()) {
            // Not written yet, but a delayed write may still take effect: only the same batch may be tried here.
            if (m_uncertain)
                m_step = step::write;
            else
                reset(); // the winner of the race was deleted by a compaction
            return;
        }
        const auto batch = decodeRecords(found.value().body);
        if (batch.has_error())
            return backOff({error_code::unavailable, "batch"});
        if (batch.value().batchId == m_batchId) {
            m_batchVersion = found.value().version;
            m_uncertain = true;
            m_step = step::verify;
            return;
        }
        requeueBatch();
        fold(batch.value(), found.value().version);
        m_step = ++m_lostRaces < kRacesBeforeCatchUp ? step::ready : step::log;
    }

    /// Puts records without an answer back in front of the queue. Those answered `unknown` are given up: their callers
    /// were told, and bills are sent again by the service.
    void requeueBatch()
    {
        for (auto waiting = m_batch.rbegin(); waiting != m_batch.rend(); ++waiting) {
            if (!waiting->done)
                continue;
            waiting->maybeWritten = m_uncertain;
            m_queue.push_front(std::move(*waiting));
        }
        m_batch.clear();
        m_uncertain = false;
    }

    /// The batch is in the log at m_nextIndex.
    void landBatch()
    {
        for (auto &waiting : m_batch) {
            const bool counts = applyRecord(waiting.record, &waiting.encoded);
            answer(waiting, counts ? append_outcome{ledger_status::written, {}, {}} : *m_index.find(waiting.record));
        }
        m_batch.clear();
        m_batchVersions[m_nextIndex] = m_batchVersion;
        m_uncertain = false;
        m_lostRaces = 0;
        ++m_nextIndex;
        startSnapshot();
    }

    // Snapshots.

    void startSnapshot()
    {
        if (m_compaction.busy() || m_nextIndex - m_head.index < m_timing.snapshotBatches)
            return;
        const std::vector<unsnapshotted_record> records(m_unsnapshot.begin(), m_unsnapshot.end());
        std::vector<snapshot_head::part> replaced;
        for (const auto &[index, version] : m_batchVersions)
            replaced.push_back({batchKey(m_number, index), version, 0});
        std::ranges::reverse(replaced); // deleted from the back: oldest first
        m_compaction.start(m_head, m_headVersion, m_nextIndex, records, std::move(replaced), m_unixSeconds,
                           [weak = weak_from_this()](const snapshot_head &head, object_version version) {
                               if (const auto self = weak.lock())
                                   self->takeHead(head, version);
                           });
    }

    /// A snapshot beyond the known log is not taken over: the next floor read leads to a reset. While the log is being
    /// loaded m_head has to stay the head whose parts are read.
    void takeHead(const snapshot_head &head, object_version version)
    {
        if (!m_loaded || head.index > m_nextIndex || head.index < m_head.index)
            return;
        m_head = head;
        m_headVersion = version;
        std::erase_if(m_unsnapshot, [&](const auto &record) { return record.index < head.index; });
        m_batchVersions.erase(m_batchVersions.begin(), m_batchVersions.lower_bound(head.index));
    }

    // Deadlines.

    /// Answers records that have waited too long. A claim in the queue was surely not written; one in the batch may
    /// have been.
    void expire()
    {
        const auto isLate = [&](const waiting_record &waiting) {
            return m_now - waiting.since >= m_timing.appendTimeout;
        };
        for (auto &waiting : m_batch) {
            if (isLate(waiting))
                answer(waiting, {ledger_status::unknown, {}, {}});
        }
        for (auto &waiting : m_queue) {
            if (isLate(waiting))
                refuse(waiting);
        }
        std::erase_if(m_queue, isLate);
    }

    [[nodiscard]] std::optional<instant> nextTick() const
    {
        if (!hasWork() && !m_compaction.busy())
            return std::nullopt;
        auto next = std::max(m_now + kMinTickUs, m_retryAt);
        if (!m_queue.empty() && !m_busy && m_retryAt <= m_now)
            next = std::max(next, dueAt());
        return m_busy ? m_now + std::max(kMinTickUs, m_timing.linger) : next;
    }
};

ledger_segment::ledger_segment(object_store &store, std::uint32_t number, std::string writer,
                               std::chrono::seconds retention, ledger_timing timing)
    : m_impl(std::make_shared<implementation>(store, number, std::move(writer), retention, timing))
{
}

ledger_segment::~ledger_segment()
{
    m_impl->m_closed = true;
}

void ledger_segment::append(ledger_record record, append_done done)
{
    auto &state = *m_impl;
    if (record.response.size() > ledger_record::kMaxStoredResponseBytes)
        record.response.clear(); // a cut JSON text is of no use to the caller
    if (state.m_loaded && !state.m_unverifiedFrom) {
        const auto reply = state.m_index.find(record);
        const bool isFinal = reply && reply->status != ledger_status::exists_open;
        if (isFinal && !state.m_index.needsRenewal(record, state.m_unixSeconds))
            return done(*reply);
    }
    if (state.m_outage && state.m_now < state.m_retryAt)
        return done({ledger_status::unavailable, {}, {}});
    auto encoded = encodeRecord(record);
    state.m_queue.push_back({std::move(record), std::move(encoded), std::move(done), state.m_now});
    state.run();
    state.giveReplies();
}

void ledger_segment::tick(instant now, std::int64_t unixSeconds)
{
    auto &state = *m_impl;
    state.m_now = now;
    state.m_unixSeconds = unixSeconds;
    state.m_index.dropExpired(unixSeconds);
    state.expire();
    state.run();
    state.m_compaction.tick(now);
    state.giveReplies();
}

void ledger_segment::load()
{
    m_impl->m_wanted = true;
    m_impl->run();
    m_impl->giveReplies();
}

std::optional<instant> ledger_segment::nextTick() const
{
    return m_impl->nextTick();
}

bool ledger_segment::isLoaded() const
{
    return m_impl->m_loaded;
}

std::size_t ledger_segment::entries() const
{
    return m_impl->m_index.size();
}

std::size_t ledger_segment::waiting() const
{
    return m_impl->m_queue.size() + m_impl->m_batch.size();
}

} // namespace foxtaildyke
