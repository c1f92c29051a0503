// Routing of ledger records to segment owners; see ledger_routing_p.h.
#include "ledger_routing_p.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace foxtaildyke
{

namespace
{

std::uint64_t rendezvousWeight(std::string_view host, std::uint64_t key)
{
    return XXH64(host.data(), host.size(), key);
}

bool isFailure(ledger_status status)
{
    return status == ledger_status::unavailable || status == ledger_status::unknown;
}

} // namespace

void ledger_hosts::configure(const std::vector<host_config> &hosts)
{
    m_hosts = hosts;
    const auto self = std::ranges::find(m_hosts, m_self, &host_config::name);
    m_failureDomain = self == m_hosts.end() ? "" : self->failureDomain;
    m_owners.clear();
}

void ledger_hosts::setGone(std::set<std::string> hosts)
{
    if (m_gone != hosts)
        m_owners.clear();
    m_gone = std::move(hosts);
}

void ledger_hosts::suspect(const std::string &host, instant until)
{
    m_suspected[host] = until;
    m_owners.clear();
}

void ledger_hosts::tick(instant now)
{
    if (std::erase_if(m_suspected, [&](const auto &entry) { return entry.second <= now; }) > 0)
        m_owners.clear();
}

bool ledger_hosts::isGone(const std::string &host) const
{
    return m_gone.contains(host) || std::ranges::find(m_hosts, host, &host_config::name) == m_hosts.end();
}

bool ledger_hosts::isUsable(const std::string &host) const
{
    return host == m_self || (!m_gone.contains(host) && !m_suspected.contains(host));
}

const std::string &ledger_hosts::ownerOf(std::uint32_t segment)
{
    const auto [position, isNew] = m_owners.try_emplace(segment, m_self);
    if (!isNew)
        return position->second;
    std::uint64_t best = 0;
    for (const auto &host : m_hosts) {
        const auto weight = rendezvousWeight(host.name, segment);
        if (!isUsable(host.name) || weight < best)
            continue;
        best = weight;
        position->second = host.name;
    }
    return position->second;
}

std::string ledger_hosts::selectCopyHolder(std::string_view writer, const std::set<std::string> &tried) const
{
    const auto key = XXH64(writer.data(), writer.size(), 0);
    const host_config *best = nullptr;
    for (const auto &host : m_hosts) {
        const bool isEligible =
            host.failureDomain != m_failureDomain && isUsable(host.name) && !tried.contains(host.name);
        if (!isEligible)
            continue;
        if (best == nullptr || rendezvousWeight(host.name, key) > rendezvousWeight(best->name, key))
            best = &host;
    }
    return best == nullptr ? "" : best->name;
}

struct ledger_router::implementation : std::enable_shared_from_this<implementation> {
    struct routed_record {
        ledger_record record;
        append_done done;
        bool maybeWritten = false; ///< an owner may have written it
    };
    /// Records to be sent to one segment's owner. At most one call is in flight; records that arrive meanwhile form the
    /// next batch.
    struct outbox {
        std::vector<routed_record> waiting;
        bool inFlight = false;
    };

    implementation(std::string host, std::string run, object_store &store, ledger_peers &peers,
                   ledger_service_timing timing)
        : m_host(std::move(host))
        , m_run(std::move(run))
        , m_store(store)
        , m_peers(peers)
        , m_timing(timing)
        , m_hosts(m_host)
    {
    }

private:
    friend class ledger_router;

    std::string m_host;
    std::string m_run;
    object_store &m_store;
    ledger_peers &m_peers;
    ledger_service_timing m_timing;
    ledger_hosts m_hosts;
    bool m_closed = false;
    std::uint32_t m_segmentCount = 0; ///< 0: not configured
    std::chrono::seconds m_retention{};
    instant m_now{};
    std::int64_t m_unixSeconds = 0;
    std::map<std::uint32_t, std::unique_ptr<ledger_segment>> m_segments; ///< created at first use
    std::map<std::uint32_t, outbox> m_outboxes;
    /// Pins created while the store was unavailable, by (account, session id).
    std::map<std::pair<std::string, std::string>, ledger_record> m_pins;
    instant m_pinRetryAt{};

    ledger_segment &segment(std::uint32_t number)
    {
        auto &found = m_segments[number];
        if (!found) {
            found =
                std::make_unique<ledger_segment>(m_store, number, m_host + "-" + m_run, m_retention, m_timing.segment);
            found->tick(m_now, m_unixSeconds);
        }
        return *found;
    }

    [[nodiscard]] std::uint32_t segmentFor(const ledger_record &record) const
    {
        return segmentOf(record.account, record.id, m_segmentCount);
    }

    void route(routed_record routed)
    {
        if (m_segmentCount == 0)
            return routed.done({});
        const auto number = segmentFor(routed.record);
        if (m_hosts.ownerOf(number) == m_host)
            return appendLocally(std::move(routed));
        m_outboxes[number].waiting.push_back(std::move(routed));
        send(number);
    }

    void send(std::uint32_t number)
    {
        auto &box = m_outboxes[number];
        if (box.inFlight || box.waiting.empty())
            return;
        const auto owner = m_hosts.ownerOf(number);
        auto records = std::make_shared<std::vector<routed_record>>(std::exchange(box.waiting, {}));
        if (owner == m_host) {
            for (auto &routed : *records)
                appendLocally(std::move(routed));
            return;
        }
        std::vector<std::string> encoded(records->size());
        std::ranges::transform(*records, encoded.begin(),
                               [](const auto &routed) { return encodeRecord(routed.record); });
        box.inFlight = true;
        m_peers.append(owner, number, joinBatch("append", encoded),
                       [self = shared_from_this(), owner, number, records](const auto &outcomes) {
                           if (self->m_closed)
                               return;
                           self->m_outboxes[number].inFlight = false;
                           self->handleOutcomes(owner, *records, outcomes);
                           self->send(number);
                       });
    }

    void handleOutcomes(const std::string &owner, std::vector<routed_record> &records,
                        const result<std::vector<append_outcome>> &outcomes)
    {
        const bool isComplete = outcomes.has_value() && outcomes.value().size() == records.size();
        if (!isComplete)
            m_hosts.suspect(owner, m_now + m_timing.suspect);
        const bool notDelivered = outcomes.has_error() && outcomes.error().code == error_code::unavailable;
        for (std::size_t i = 0; i < records.size(); ++i) {
            auto &routed = records[i];
            if (isComplete && !isFailure(outcomes.value()[i].status)) {
                routed.done(outcomes.value()[i]);
                continue;
            }
            const bool refused = isComplete && outcomes.value()[i].status == ledger_status::unavailable;
            routed.maybeWritten = routed.maybeWritten || !(notDelivered || refused);
            appendLocally(std::move(routed));
        }
    }

    /// Reports `unknown` instead of `unavailable` if an owner may have written the record.
    void appendLocally(routed_record routed)
    {
        if (m_segmentCount == 0)
            return routed.done({});
        if (const auto known = memoryPin(routed.record))
            return routed.done(*known);
        const auto number = segmentFor(routed.record);
        auto shared = std::make_shared<routed_record>(std::move(routed));
        segment(number).append(shared->record, [self = shared_from_this(), number, shared](append_outcome outcome) {
            if (self->m_closed)
                return;
            if (shared->maybeWritten && outcome.status == ledger_status::unavailable)
                outcome.status = ledger_status::unknown;
            if (shared->record.type == record_type::pin && isFailure(outcome.status))
                outcome = self->pinInMemory(number, shared->record, outcome);
            shared->done(outcome);
        });
    }

    // Pins during an outage.

    [[nodiscard]] std::optional<append_outcome> memoryPin(const ledger_record &record) const
    {
        if (record.type != record_type::pin)
            return std::nullopt;
        const auto found = m_pins.find({record.account, record.id});
        if (found == m_pins.end() || found->second.writer == record.writer)
            return std::nullopt;
        return append_outcome{ledger_status::exists_pinned, {}, found->second.pins};
    }

    /// All hosts with the same generation propose the same versions, so hosts that cannot reach each other agree. The
    /// pin is refused if the log is not loaded, since an older pin could be missed. The result is exists_pinned: the
    /// pin is in effect, but not durable.
    append_outcome pinInMemory(std::uint32_t number, const ledger_record &record, const append_outcome &failure)
    {
        const bool isSafe = segment(number).isLoaded() && m_hosts.ownerOf(number) == m_host;
        if (!isSafe)
            return failure;
        m_pins.try_emplace({record.account, record.id}, record);
        return {ledger_status::exists_pinned, {}, record.pins};
    }

    void retryPins()
    {
        if (m_pins.empty() || m_now < m_pinRetryAt)
            return;
        m_pinRetryAt = m_now + m_timing.retry;
        const auto pins = m_pins;
        for (const auto &[key, record] : pins)
            writePin(key, record);
    }

    void writePin(const std::pair<std::string, std::string> &key, const ledger_record &record)
    {
        const auto number = segmentFor(record);
        segment(number).append(record, [self = shared_from_this(), key](const append_outcome &outcome) {
            if (!self->m_closed && !isFailure(outcome.status))
                self->m_pins.erase(key);
        });
    }

    /// Loads the owned segments before their first record, so that pins can be created as soon as an outage begins.
    void loadOwned()
    {
        for (std::uint32_t number = 0; number < m_segmentCount; ++number) {
            if (m_hosts.ownerOf(number) == m_host)
                segment(number).load();
        }
    }
};

ledger_router::ledger_router(std::string host, std::string run, object_store &store, ledger_peers &peers,
                             ledger_service_timing timing)
    : m_impl(std::make_shared<implementation>(std::move(host), std::move(run), store, peers, timing))
{
}

ledger_router::~ledger_router()
{
    m_impl->m_closed = true;
    m_impl->m_segments.clear(); // the store may be destroyed before the last callback
}

void ledger_router::configure(const router_config &config)
{
    m_impl->m_hosts.configure(config.hosts);
    m_impl->m_retention = config.tune.ledgerRetention;
    if (m_impl->m_segmentCount == 0)
        m_impl->m_segmentCount = config.tune.ledgerSegments;
    m_impl->loadOwned();
}

void ledger_router::route(ledger_record record, append_done done)
{
    m_impl->route({std::move(record), std::move(done), false});
}

void ledger_router::appendLocally(ledger_record record, append_done done)
{
    m_impl->appendLocally({std::move(record), std::move(done), false});
}

void ledger_router::advance(instant now, std::int64_t unixSeconds)
{
    m_impl->m_now = now;
    m_impl->m_unixSeconds = unixSeconds;
    for (const auto &[number, segment] : m_impl->m_segments)
        segment->advance(now);
}

void ledger_router::tick(instant now, std::int64_t unixSeconds)
{
    advance(now, unixSeconds);
    m_impl->m_hosts.tick(now);
    for (const auto &[number, segment] : m_impl->m_segments)
        segment->tick(now, unixSeconds);
    m_impl->retryPins();
}

std::optional<instant> ledger_router::nextTick() const
{
    std::optional<instant> next;
    const auto include = [&](std::optional<instant> time) {
        if (time)
            next = next ? std::min(*next, *time) : *time;
    };
    for (const auto &[number, segment] : m_impl->m_segments)
        include(segment->nextTick());
    if (!m_impl->m_pins.empty())
        include(m_impl->m_pinRetryAt);
    return next;
}

ledger_hosts &ledger_router::hosts()
{
    return m_impl->m_hosts;
}

std::size_t ledger_router::entries() const
{
    std::size_t sum = 0;
    for (const auto &[number, segment] : m_impl->m_segments)
        sum += segment->entries();
    return sum;
}

std::size_t ledger_router::memoryPins() const
{
    return m_impl->m_pins.size();
}

std::uint32_t ledger_router::segments() const
{
    return m_impl->m_segmentCount;
}

} // namespace foxtaildyke
