// The ledger of one host: bills that are not written yet, their copies, and calls of other hosts; see
// ledger_service_p.h.
#include "ledger_routing_p.h"
#include "ledger_service_p.h"

namespace foxtaildyke
{

namespace
{

/// Limit of copies stored for other hosts; at 3 KB each they take up at most a quarter of a node's 128 MB.
constexpr std::size_t kMaxCopies = 10000;

/// Number of hosts tried as holder of a copy before the bill is reported as not copied.
constexpr std::size_t kMaxCopyTries = 3;

bool isSettled(ledger_status status)
{
    return status == ledger_status::written || status == ledger_status::exists_billed;
}

} // namespace

struct ledger_service::implementation : std::enable_shared_from_this<implementation> {
    /// A bill of this host that is not known to be in the log.
    struct pending_bill {
        ledger_record record;
        append_done done; ///< empty once completed
        instant since{};
        instant retryAt{};
        bool writing = false;
        bool copying = false;
        std::string holder; ///< host that has a copy; empty if none
        std::set<std::string> tried; ///< hosts to which a copy was sent
    };
    /// Copy of another host's bill.
    struct kept_copy {
        ledger_record record;
        std::string host;
        instant retryAt{};
        bool adopted = false; ///< the bill's host is gone
        bool writing = false;
    };

    implementation(std::string host, std::string run, object_store &store, ledger_peers &peers,
                   ledger_service_timing timing)
        : m_host(host)
        , m_run(run)
        , m_peers(peers)
        , m_timing(timing)
        , m_router(std::move(host), std::move(run), store, peers, timing)
    {
    }

private:
    friend class ledger_service;

    std::string m_host;
    std::string m_run;
    ledger_peers &m_peers;
    ledger_service_timing m_timing;
    ledger_router m_router;
    bool m_closed = false;
    bool m_draining = false;
    std::uint64_t m_counter = 0;
    instant m_now{};
    std::int64_t m_unixSeconds = 0;
    std::map<std::string, pending_bill> m_bills; ///< by writer
    std::map<std::string, kept_copy> m_copies; ///< by writer
    std::map<std::string, std::vector<std::string>> m_releases; ///< by holder: writers of bills that are now in the log

    ledger_record newRecord(record_type type, const std::string &account, const std::string &id)
    {
        ledger_record record;
        record.type = type;
        record.account = account;
        record.id = id;
        record.writer = m_host + "-" + m_run + "-" + std::to_string(++m_counter);
        record.unixSeconds = m_unixSeconds;
        return record;
    }

    // Bills.

    void addBill(ledger_record record, append_done done)
    {
        const auto writer = record.writer;
        m_bills[writer] = {std::move(record), std::move(done), m_now, m_now};
        writeBill(writer);
    }

    void writeBill(const std::string &writer)
    {
        auto &bill = m_bills.at(writer);
        bill.writing = true;
        bill.retryAt = m_now + m_timing.retry;
        if (!bill.copying)
            bill.tried.clear();
        m_router.route(bill.record, [self = shared_from_this(), writer](const append_outcome &outcome) {
            if (!self->m_closed)
                self->onBillWritten(writer, outcome);
        });
    }

    void onBillWritten(const std::string &writer, const append_outcome &outcome)
    {
        const auto found = m_bills.find(writer);
        if (found == m_bills.end())
            return;
        found->second.writing = false;
        if (!isSettled(outcome.status)) {
            copyBill(writer);
            return;
        }
        const auto bill = std::move(found->second);
        m_bills.erase(found);
        if (!bill.holder.empty())
            m_releases[bill.holder].push_back(writer);
        if (bill.done)
            bill.done(outcome);
    }

    /// Sends a copy to a host of another failure domain, unless one has it or a call is in flight.
    void copyBill(const std::string &writer)
    {
        auto &bill = m_bills.at(writer);
        if (bill.copying || !bill.holder.empty())
            return;
        const auto holder =
            bill.tried.size() < kMaxCopyTries ? m_router.hosts().selectCopyHolder(writer, bill.tried) : std::string();
        if (holder.empty()) {
            // The bill is retained and retried, so it may still be written: the result is not `unavailable`.
            if (bill.done && m_now - bill.since >= m_timing.billTimeout)
                std::exchange(bill.done, nullptr)({ledger_status::unknown, {}, {}});
            return;
        }
        bill.copying = true;
        bill.tried.insert(holder);
        m_peers.copyBills(holder, encodeRecords("copy", {bill.record}), {},
                          [self = shared_from_this(), writer, holder](const result<bool> &kept) {
                              if (!self->m_closed)
                                  self->onCopied(writer, holder, kept);
                          });
    }

    void onCopied(const std::string &writer, const std::string &holder, const result<bool> &kept)
    {
        const bool isKept = kept.has_value() && kept.value();
        const auto found = m_bills.find(writer);
        if (found == m_bills.end()) { // written in the meantime
            if (isKept)
                m_releases[holder].push_back(writer);
            return;
        }
        auto &bill = found->second;
        bill.copying = false;
        if (kept.has_error())
            m_router.hosts().suspect(holder, m_now + m_timing.suspect);
        if (!isKept)
            return copyBill(writer);
        bill.holder = holder;
        if (bill.done)
            std::exchange(bill.done, nullptr)({ledger_status::copied, {}, {}});
    }

    void tickBills()
    {
        std::vector<std::string> toCopy;
        std::vector<std::string> toWrite;
        for (auto &[writer, bill] : m_bills) {
            if (!bill.holder.empty() && m_router.hosts().isGone(bill.holder)) {
                bill.holder.clear();
                bill.tried.clear();
            }
            if (bill.holder.empty() && m_now - bill.since >= m_timing.copyAfter)
                toCopy.push_back(writer);
            if (!bill.writing && m_now >= bill.retryAt)
                toWrite.push_back(writer);
        }
        // Each call may complete and remove a bill, so each bill is looked up again.
        for (const auto &writer : toCopy) {
            if (m_bills.contains(writer))
                copyBill(writer);
        }
        for (const auto &writer : toWrite) {
            if (m_bills.contains(writer))
                writeBill(writer);
        }
    }

    // Copies of other hosts' bills.

    /// @returns the outcome of a claim whose bill is kept here and on another host, so that its response may have been
    /// sent although the log doesn't have it yet; std::nullopt if there is no such bill.
    [[nodiscard]] std::optional<append_outcome> keptOutcome(std::string_view account, std::string_view id) const
    {
        const auto isOfKey = [&](const ledger_record &record) {
            return record.account == account && record.id == id;
        };
        const auto copy =
            std::ranges::find_if(m_copies, [&](const auto &entry) { return isOfKey(entry.second.record); });
        if (copy != m_copies.end())
            return append_outcome{ledger_status::exists_billed, copy->second.record.response, {}};
        const auto own = std::ranges::find_if(
            m_bills, [&](const auto &entry) { return !entry.second.holder.empty() && isOfKey(entry.second.record); });
        if (own != m_bills.end())
            return append_outcome{ledger_status::exists_billed, own->second.record.response, {}};
        return std::nullopt;
    }

    bool acceptCopies(const std::string &host, std::vector<ledger_record> records)
    {
        if (m_draining || m_copies.size() + records.size() > kMaxCopies)
            return false;
        for (auto &record : records) {
            const auto writer = record.writer;
            m_copies[writer] = {std::move(record), host, m_now + m_timing.adoptCopyAfter};
        }
        return true;
    }

    void tickCopies()
    {
        std::vector<std::string> due;
        for (auto &[writer, copy] : m_copies) {
            if (!copy.adopted && m_router.hosts().isGone(copy.host)) {
                copy.adopted = true;
                copy.retryAt = m_now;
            }
            if (!copy.writing && m_now >= copy.retryAt)
                due.push_back(writer);
        }
        for (const auto &writer : due)
            writeCopy(writer);
    }

    void writeCopy(const std::string &writer)
    {
        const auto found = m_copies.find(writer);
        if (found == m_copies.end())
            return;
        found->second.writing = true;
        found->second.retryAt = m_now + m_timing.retry;
        m_router.route(found->second.record, [self = shared_from_this(), writer](const append_outcome &outcome) {
            const auto position = self->m_copies.find(writer);
            if (self->m_closed || position == self->m_copies.end())
                return;
            position->second.writing = false;
            if (isSettled(outcome.status))
                self->m_copies.erase(position);
        });
    }

    /// A lost release is harmless: the holder writes the copy, and only the first record in log order is effective.
    void sendReleases()
    {
        const auto releases = std::exchange(m_releases, {});
        for (const auto &[holder, writers] : releases)
            m_peers.copyBills(holder, encodeRecords("release", {}), writers, [](const result<bool> &) {});
    }
};

ledger_service::ledger_service(std::string host, std::string run, object_store &store, ledger_peers &peers,
                               ledger_service_timing timing)
    : m_impl(std::make_shared<implementation>(std::move(host), std::move(run), store, peers, timing))
{
}

ledger_service::~ledger_service()
{
    m_impl->m_closed = true;
}

void ledger_service::configure(const router_config_ptr &config)
{
    if (config)
        m_impl->m_router.configure(*config);
}

void ledger_service::setNotLiveHosts(std::set<std::string> hosts)
{
    m_impl->m_router.hosts().setGone(std::move(hosts));
}

void ledger_service::claim(const write_claim &request, append_done done)
{
    if (const auto kept = m_impl->keptOutcome(request.account, request.requestId))
        return done(*kept);
    m_impl->m_router.route(m_impl->newRecord(record_type::claim, request.account, request.requestId), std::move(done));
}

void ledger_service::bill(const write_bill &request, append_done done)
{
    auto record = m_impl->newRecord(record_type::bill, request.account, request.requestId);
    record.model = request.model;
    record.version = request.version;
    record.promptTokens = request.promptTokens;
    record.completionTokens = request.completionTokens;
    record.costMicroUnits = request.costMicroUnits;
    if (request.answer.size() <= ledger_record::kMaxStoredResponseBytes)
        record.response = request.answer;
    m_impl->addBill(std::move(record), std::move(done));
}

void ledger_service::pin(const write_pin &request, append_done done)
{
    auto record = m_impl->newRecord(record_type::pin, request.account, request.sessionId);
    record.pins = request.versions;
    m_impl->m_router.route(std::move(record), std::move(done));
}

void ledger_service::serveAppend(std::uint32_t segment, std::string_view batch, ledger_peers::append_batch_done done)
{
    auto records = decodeRecords(batch);
    if (records.has_error())
        return done(records.error());
    const auto count = m_impl->m_router.segments();
    const auto isOther = [&](const auto &record) {
        return segmentOf(record.account, record.id, count) != segment;
    };
    if (count == 0 || std::ranges::any_of(records.value().records, isOther))
        return done(error{error_code::unavailable, "segment"});
    struct pending_append {
        std::vector<append_outcome> outcomes;
        std::size_t remaining = 0;
        ledger_peers::append_batch_done done;
    };
    auto state = std::make_shared<pending_append>();
    state->remaining = records.value().records.size();
    state->outcomes.resize(state->remaining);
    state->done = std::move(done);
    if (state->remaining == 0)
        return state->done(state->outcomes);
    for (std::size_t i = 0; i < state->outcomes.size(); ++i) {
        const auto complete = [state, i](append_outcome outcome) {
            state->outcomes[i] = std::move(outcome);
            if (--state->remaining == 0)
                state->done(state->outcomes);
        };
        auto &record = records.value().records[i];
        const auto kept =
            record.type == record_type::claim ? m_impl->keptOutcome(record.account, record.id) : std::nullopt;
        if (kept)
            complete(*kept);
        else
            m_impl->m_router.appendLocally(std::move(record), complete);
    }
}

bool ledger_service::serveCopies(const std::string &host, std::string_view batch,
                                 const std::vector<std::string> &release)
{
    for (const auto &writer : release)
        m_impl->m_copies.erase(writer);
    auto records = decodeRecords(batch);
    if (records.has_error())
        return false;
    return m_impl->acceptCopies(host, std::move(records.value().records));
}

void ledger_service::advance(instant now, std::int64_t unixSeconds)
{
    m_impl->m_now = now;
    m_impl->m_unixSeconds = unixSeconds;
    m_impl->m_router.advance(now, unixSeconds);
}

void ledger_service::tick(instant now, std::int64_t unixSeconds)
{
    auto &state = *m_impl;
    advance(now, unixSeconds);
    state.m_router.tick(now, unixSeconds);
    state.tickBills();
    state.tickCopies();
    state.sendReleases();
}

std::optional<instant> ledger_service::nextTick() const
{
    auto next = m_impl->m_router.nextTick();
    const auto include = [&](instant time) {
        next = next ? std::min(*next, time) : time;
    };
    for (const auto &[writer, bill] : m_impl->m_bills) {
        include(bill.retryAt);
        const auto copyAt = bill.since + m_impl->m_timing.copyAfter;
        if (bill.holder.empty() && copyAt > m_impl->m_now)
            include(copyAt);
    }
    for (const auto &[writer, copy] : m_impl->m_copies)
        include(copy.retryAt);
    return next;
}

void ledger_service::drain()
{
    m_impl->m_draining = true;
    for (auto &[writer, bill] : m_impl->m_bills)
        bill.retryAt = m_impl->m_now;
}

std::size_t ledger_service::unwrittenBills() const
{
    return m_impl->m_bills.size();
}

std::size_t ledger_service::uncopiedBills() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_impl->m_bills, [](const auto &entry) { return entry.second.holder.empty(); }));
}

std::size_t ledger_service::storedCopies() const
{
    return m_impl->m_copies.size();
}

std::size_t ledger_service::memoryPins() const
{
    return m_impl->m_router.memoryPins();
}

std::size_t ledger_service::entries() const
{
    return m_impl->m_router.entries();
}

std::string ledger_service::ownerOf(std::uint32_t segment)
{
    return m_impl->m_router.hosts().ownerOf(segment);
}

} // namespace foxtaildyke
