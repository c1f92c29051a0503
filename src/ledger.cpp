// One segment of the request ledger: loads the log, writes batches at the next index, and completes appends; see
// ledger_p.h and section 6 of docs/design.md.
#include "ledger_index_p.h"

#include <charconv>
#include <set>

namespace foxtaildyke
{

namespace
{

/// After this many consecutive lost races the log is read to its end, instead of trying index after index.
constexpr int kMaxLostRaces = 2;

/// Minimum delay returned by nextTick(), so that the caller's timer does not spin.
constexpr std::chrono::microseconds kMinTickUs{1000};

bool mayHaveWritten(const error &failure)
{
    return failure.code != error_code::unavailable && failure.code != error_code::conflict;
}

} // namespace

struct ledger_segment::implementation : std::enable_shared_from_this<implementation> {
    /// Purpose of the next store call.
    enum class step : std::uint8_t {
        head, ///< read the snapshot head
        part, ///< read the snapshot parts
        log, ///< read batches up to the end of the log
        verify, ///< read the floor to check that the batches read or written are part of the log
        ready, ///< nothing pending; the next batch may be formed
        write, ///< create the batch at m_nextIndex
        settle, ///< read m_nextIndex to find out whose batch is there
    };

    struct waiting_record {
        ledger_record record;
        std::string encoded;
        append_done done; ///< empty once completed
        instant since{};
        bool logRefreshed = false; ///< the log has been read to its end since the index showed an open claim of its key
        bool maybeWritten = false; ///< an earlier batch with it may be in the log; cleared when the log is verified
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
    bool m_busy = false; ///< a store call is in flight
    bool m_running = false; ///< inside run()
    bool m_closed = false; ///< the ledger_segment was destroyed
    bool m_loaded = false; ///< the index was read up to the end of the log and verified
    bool m_loadRequested = false; ///< load() was called: read the log without a queued record
    bool m_outage = false; ///< the store refused the last call
    instant m_now{};
    instant m_retryAt{};
    std::int64_t m_unixSeconds = 0;

    snapshot_head m_head; ///< the snapshot that the index was built from, or a later one that the index covers
    object_version m_headVersion = 0;
    std::size_t m_nextPart = 0; ///< while loading
    log_index m_nextIndex = 0; ///< the log is known up to here
    std::optional<log_index> m_unverifiedFrom; ///< first batch applied from a read since the last read of the floor
    std::deque<unsnapshotted_record> m_unsnapshotted; ///< effective records at and after m_head.index, in log order
    std::map<log_index, object_version> m_batchVersions; ///< batch objects at and after m_head.index

    std::deque<waiting_record> m_queue;
    std::vector<waiting_record> m_batch; ///< in flight or with unknown result; at most one batch at a time
    std::string m_batchId;
    std::string m_batchBody;
    std::uint64_t m_batchCounter = 0;
    object_version m_batchVersion = 0;
    bool m_batchMaybeWritten = false; ///< m_batch may be in the log
    int m_lostRaces = 0; ///< consecutive
    instant m_nextPacedWrite{}; ///< due time of the next batch at one per writePeriod; a burst runs ahead of it

    std::vector<std::pair<append_done, append_outcome>>
        m_outcomes; ///< delivered when the current call from outside ends

    /// @returns a store callback that passes the result to `next`, starts the next calls and delivers outcomes. It does
    /// nothing once the segment is destroyed.
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
            self->deliverOutcomes();
        };
    }

    void respond(waiting_record &waiting, append_outcome outcome)
    {
        if (waiting.done)
            m_outcomes.emplace_back(std::exchange(waiting.done, nullptr), std::move(outcome));
    }

    /// Called last, since callbacks may call append().
    void deliverOutcomes()
    {
        const auto outcomes = std::exchange(m_outcomes, {});
        for (const auto &[done, outcome] : outcomes)
            done(outcome);
    }

    [[nodiscard]] bool hasWork() const
    {
        return !m_queue.empty() || !m_batch.empty() || (m_loadRequested && !m_loaded);
    }

    /// Starts store calls until one is in flight or nothing is due. A loop, because a store may respond synchronously.
    void run()
    {
        if (m_running)
            return;
        m_running = true;
        while (!m_busy && !m_closed && m_now >= m_retryAt && startCall()) { }
        m_running = false;
    }

    /// @returns whether a call was started or the step changed.
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

    /// Delays the next store call. If the store refused the call, queued records are rejected at once, since an outage
    /// usually lasts longer than a caller should wait.
    void backOff(const error &failure)
    {
        m_retryAt = m_now + m_timing.retry;
        m_outage = failure.code == error_code::unavailable;
        if (!m_outage)
            return;
        for (auto &waiting : m_queue)
            rejectQueued(waiting);
        m_queue.clear();
    }

    /// Completes a queued record that will not be written.
    void rejectQueued(waiting_record &waiting)
    {
        const auto outcome = m_index.find(waiting.record);
        const bool isVerified = m_loaded && !m_unverifiedFrom;
        if (waiting.maybeWritten || (outcome && !isVerified))
            return respond(waiting, {ledger_status::unknown, {}, {}});
        respond(waiting, outcome.value_or(append_outcome{}));
    }

    // Loading.

    /// Discards the index and reads the log again from the snapshot.
    void reset()
    {
        requeueBatch();
        m_index.clear();
        m_unsnapshotted.clear();
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
        if (found.has_error()) { // removed by a later snapshot
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
            return applyBatch(batch.value(), found.value().version);
        }
        if (found.error().code != error_code::not_found)
            return backOff(found.error());
        m_outage = false;
        if (!m_unverifiedFrom)
            m_unverifiedFrom = m_nextIndex;
        m_step = step::verify;
    }

    /// Applies the batch at m_nextIndex, written by another writer or by this one before a reset.
    void applyBatch(const decoded_batch &batch, object_version version)
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
        m_unsnapshotted.push_back(
            {m_nextIndex, m_index.expiryOf(record), encoded != nullptr ? *encoded : encodeRecord(record)});
        return true;
    }

    /// The floor is raised before objects below it are deleted. So if the floor, read after a batch was read or
    /// created, is not above the batch's index, no earlier batch at this index was deleted, and this batch is part of
    /// the log.
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
            waiting.maybeWritten = false; // an earlier batch with it would be in the index
        if (!m_batch.empty())
            completeBatch();
    }

    // Batches.

    /// @returns whether a batch or a read was started.
    bool startBatch()
    {
        if (m_queue.empty() || m_now < nextBatchTime())
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
        m_nextPacedWrite = std::max(m_nextPacedWrite, m_now) + m_timing.writePeriod;
        m_batchId = m_writer + "-" + std::to_string(++m_batchCounter);
        std::vector<std::string> encoded(m_batch.size());
        std::ranges::transform(m_batch, encoded.begin(), &waiting_record::encoded);
        m_batchBody = joinBatch(m_batchId, encoded);
        m_batchMaybeWritten = false;
        m_step = step::write;
        return true;
    }

    /// End of the first record's linger, or later if the write rate limit is reached.
    [[nodiscard]] instant nextBatchTime() const
    {
        return std::max(m_queue.front().since + m_timing.linger,
                        m_nextPacedWrite - m_timing.writePeriod * m_timing.writeBurst);
    }

    /// An open claim in the index may have been billed by another host in the meantime.
    /// @returns whether the log must be read before claims of such keys are completed.
    bool refreshOpenClaims()
    {
        bool isNeeded = false;
        for (auto &waiting : m_queue) {
            const auto outcome = m_index.find(waiting.record);
            isNeeded = isNeeded || (!waiting.logRefreshed && outcome && outcome->status == ledger_status::exists_open);
        }
        for (auto &waiting : m_queue)
            waiting.logRefreshed = waiting.logRefreshed || isNeeded;
        return isNeeded;
    }

    /// @returns the keys, without their types, of the queued bills.
    [[nodiscard]] std::set<std::pair<std::string, std::string>> queuedBills() const
    {
        std::set<std::pair<std::string, std::string>> keys;
        for (const auto &waiting : m_queue) {
            if (waiting.record.type == record_type::bill)
                keys.emplace(waiting.record.account, waiting.record.id);
        }
        return keys;
    }

    /// Moves as many records as fit from the queue to the batch. Records whose key is already in the index are
    /// completed from it, except claims of an open key whose bill is queued: these wait for the bill, to get its
    /// response. A second record with a key of the batch stays queued until the first is in the log.
    void fillBatch()
    {
        const auto bills = queuedBills();
        std::set<std::tuple<record_type, std::string, std::string>> keys;
        std::deque<waiting_record> remaining;
        std::vector<waiting_record> awaitingBill;
        std::size_t bytes = 0;
        for (auto &waiting : m_queue) {
            if (const auto outcome = m_index.find(waiting.record)) {
                if (outcome->status == ledger_status::exists_open
                    && bills.contains({waiting.record.account, waiting.record.id})) {
                    awaitingBill.push_back(std::move(waiting));
                    continue;
                }
                respond(waiting, *outcome);
                if (!m_index.needsRenewal(waiting.record, m_unixSeconds))
                    continue;
                waiting.record.pins = outcome->pins;
                waiting.encoded = encodeRecord(waiting.record);
            }
            const auto &record = waiting.record;
            const bool fits = remaining.empty() && bytes + waiting.encoded.size() < kMaxObjectBytes;
            if (!fits || !keys.emplace(record.type, record.account, record.id).second) {
                remaining.push_back(std::move(waiting));
                continue;
            }
            bytes += waiting.encoded.size() + 1;
            m_batch.push_back(std::move(waiting));
        }
        std::ranges::move(awaitingBill, std::back_inserter(remaining));
        m_queue = std::move(remaining);
    }

    void onWritten(result<object_version> written)
    {
        if (written.has_value()) {
            m_outage = false;
            m_batchMaybeWritten = true; // until the floor has been checked
            m_batchVersion = written.value();
            m_step = step::verify;
            return;
        }
        const auto &failure = written.error();
        m_batchMaybeWritten = m_batchMaybeWritten || mayHaveWritten(failure);
        if (failure.code == error_code::conflict || mayHaveWritten(failure))
            m_step = step::settle;
        if (failure.code == error_code::conflict)
            return;
        if (!m_batchMaybeWritten)
            failBatch();
        backOff(failure);
    }

    /// Fails the records of a batch that was certainly not written.
    void failBatch()
    {
        for (auto &waiting : m_batch)
            respond(waiting, {ledger_status::unavailable, {}, {}});
        m_batch.clear();
        m_step = step::ready;
    }

    void onSettled(result<stored_object> found)
    {
        if (found.has_error() && found.error().code != error_code::not_found)
            return backOff(found.error());
        m_outage = false;
        if (found.has_error()) {
            // Not written yet, but a delayed write may still take effect: only the same batch may be retried at this
            // index.
            if (m_batchMaybeWritten)
                m_step = step::write;
            else
                reset(); // a compaction has deleted the batch that won the race
            return;
        }
        const auto batch = decodeRecords(found.value().body);
        if (batch.has_error())
            return backOff({error_code::unavailable, "batch"});
        if (batch.value().batchId == m_batchId) {
            m_batchVersion = found.value().version;
            m_batchMaybeWritten = true;
            m_step = step::verify;
            return;
        }
        requeueBatch();
        applyBatch(batch.value(), found.value().version);
        m_step = ++m_lostRaces < kMaxLostRaces ? step::ready : step::log;
    }

    /// Moves uncompleted records back to the front of the queue. Records completed as `unknown` are dropped: their
    /// callers have that result, and ledger_service retries bills.
    void requeueBatch()
    {
        for (auto waiting = m_batch.rbegin(); waiting != m_batch.rend(); ++waiting) {
            if (!waiting->done)
                continue;
            waiting->maybeWritten = m_batchMaybeWritten;
            m_queue.push_front(std::move(*waiting));
        }
        m_batch.clear();
        m_batchMaybeWritten = false;
    }

    /// Completes the records of a batch that is in the log at m_nextIndex.
    void completeBatch()
    {
        for (auto &waiting : m_batch) {
            const bool isEffective = applyRecord(waiting.record, &waiting.encoded);
            respond(waiting,
                    isEffective ? append_outcome{ledger_status::written, {}, {}} : *m_index.find(waiting.record));
        }
        m_batch.clear();
        m_batchVersions[m_nextIndex] = m_batchVersion;
        m_batchMaybeWritten = false;
        m_lostRaces = 0;
        ++m_nextIndex;
        startSnapshot();
    }

    // Snapshots.

    void startSnapshot()
    {
        if (m_compaction.busy() || m_nextIndex - m_head.index < m_timing.snapshotBatches)
            return;
        const std::vector<unsnapshotted_record> records(m_unsnapshotted.begin(), m_unsnapshotted.end());
        std::vector<snapshot_head::part> replaced;
        for (const auto &[index, version] : m_batchVersions)
            replaced.push_back({batchKey(m_number, index), version, 0});
        std::ranges::reverse(replaced); // deleted from the back, so the oldest goes first
        m_compaction.start(m_head, m_headVersion, m_nextIndex, records, std::move(replaced), m_unixSeconds,
                           [weak = weak_from_this()](const snapshot_head &head, object_version version) {
                               if (const auto self = weak.lock())
                                   self->adoptHead(head, version);
                           });
    }

    /// Ignores a snapshot beyond the known end of the log: the next read of the floor causes a reset. Also ignores
    /// heads while the log is loading, when m_head must remain the head whose parts are being read.
    void adoptHead(const snapshot_head &head, object_version version)
    {
        if (!m_loaded || head.index > m_nextIndex || head.index < m_head.index)
            return;
        m_head = head;
        m_headVersion = version;
        std::erase_if(m_unsnapshotted, [&](const auto &record) { return record.index < head.index; });
        m_batchVersions.erase(m_batchVersions.begin(), m_batchVersions.lower_bound(head.index));
    }

    // Deadlines.

    /// Completes records that reached the time limit. A record of the current batch may have been written; a queued one
    /// only if an earlier batch contained it.
    void expire()
    {
        const auto isLate = [&](const waiting_record &waiting) {
            return m_now - waiting.since >= m_timing.appendTimeout;
        };
        for (auto &waiting : m_batch) {
            if (isLate(waiting))
                respond(waiting, {ledger_status::unknown, {}, {}});
        }
        for (auto &waiting : m_queue) {
            if (isLate(waiting))
                rejectQueued(waiting);
        }
        std::erase_if(m_queue, isLate);
    }

    [[nodiscard]] std::optional<instant> nextTick() const
    {
        if (!hasWork() && !m_compaction.busy())
            return std::nullopt;
        auto next = std::max(m_now + kMinTickUs, m_retryAt);
        if (!m_queue.empty() && !m_busy && m_retryAt <= m_now)
            next = std::max(next, nextBatchTime());
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
        record.response.clear(); // truncated JSON is useless to the caller
    if (state.m_loaded && !state.m_unverifiedFrom) {
        const auto outcome = state.m_index.find(record);
        const bool isFinal = outcome && outcome->status != ledger_status::exists_open;
        if (isFinal && !state.m_index.needsRenewal(record, state.m_unixSeconds))
            return done(*outcome);
    }
    if (state.m_outage && state.m_now < state.m_retryAt)
        return done({ledger_status::unavailable, {}, {}});
    auto encoded = encodeRecord(record);
    state.m_queue.push_back({std::move(record), std::move(encoded), std::move(done), state.m_now});
    state.run();
    state.deliverOutcomes();
}

void ledger_segment::advance(instant now)
{
    m_impl->m_now = now;
}

void ledger_segment::tick(instant now, std::int64_t unixSeconds)
{
    auto &state = *m_impl;
    advance(now);
    state.m_unixSeconds = unixSeconds;
    state.m_index.dropExpired(unixSeconds);
    state.expire();
    state.run();
    state.m_compaction.tick(now);
    state.deliverOutcomes();
}

void ledger_segment::load()
{
    m_impl->m_loadRequested = true;
    m_impl->run();
    m_impl->deliverOutcomes();
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

std::size_t ledger_segment::pendingRecords() const
{
    return m_impl->m_queue.size() + m_impl->m_batch.size();
}

} // namespace foxtaildyke
