// Test doubles for the ledger tests: virtual time, a store with injected faults, and hosts that can be paused.
#pragma once

#include "ledger_index_p.h"

#include <queue>
#include <random>

namespace foxtaildyke::testing
{

/// Discrete event simulation; events with the same time run in the order in which they were added.
class simulation
{
public:
    explicit simulation(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void after(instant delay, std::function<void()> event)
    {
        m_events.push({m_now + delay, m_counter++, std::move(event)});
    }

    /// Runs the next event. @returns false if no event is due up to `end`.
    bool step(instant end)
    {
        if (m_events.empty() || m_events.top().time > end)
            return false;
        auto event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.run();
        return true;
    }

    void runUntil(instant end)
    {
        while (step(end)) { }
        m_now = std::max(m_now, end);
    }

    [[nodiscard]] instant now() const { return m_now; }
    std::uint64_t below(std::uint64_t bound) { return m_random() % bound; }
    bool chance(std::uint64_t permille) { return below(1000) < permille; }

private:
    struct event {
        instant time;
        std::uint64_t number;
        std::function<void()> run;
        bool operator<(const event &other) const { return std::tie(other.time, other.number) < std::tie(time, number); }
    };
    std::mt19937_64 m_random;
    std::priority_queue<event> m_events;
    instant m_now{};
    std::uint64_t m_counter = 0;
};

/// Rates of injected faults, in calls per 1000.
struct fault_rates {
    std::uint64_t lostResponse = 0; ///< the call takes effect, but its response is lost
    std::uint64_t lostCall = 0; ///< the call has no effect and gets no response
    std::uint64_t delayed = 0; ///< fails with timed_out, but takes effect much later
    std::uint64_t refused = 0; ///< fails with unavailable
    std::uint64_t maxDelayUs = 20000; ///< upper bound of the delay of a delayed call
};

/// Objects of the platform, with the history of batches for comparison.
struct shared_store {
    std::map<std::string, stored_object> objects;
    std::map<std::string, std::string> firstBodies; ///< first content of every key that ever existed
    object_version lastVersion = 0;
    bool isDown = false;
    std::uint64_t writes = 0; ///< including refused ones
    std::uint64_t conflicts = 0;
    std::uint64_t reads = 0;
    std::uint64_t removes = 0;

    result<stored_object> read(const std::string &key)
    {
        ++reads;
        const auto found = objects.find(key);
        if (found == objects.end())
            return error{error_code::not_found, key};
        return found->second;
    }

    result<object_version> write(const std::string &key, const std::string &body, object_version expected)
    {
        ++writes;
        const auto found = objects.find(key);
        const auto current = found == objects.end() ? 0 : found->second.version;
        if (current != expected) {
            ++conflicts;
            return error{error_code::conflict, key};
        }
        objects[key] = {body, ++lastVersion};
        firstBodies.try_emplace(key, body);
        return lastVersion;
    }

    result<void> remove(const std::string &key, object_version expected)
    {
        ++removes;
        const auto found = objects.find(key);
        if (found == objects.end())
            return error{error_code::not_found, key};
        if (found->second.version != expected)
            return error{error_code::conflict, key};
        objects.erase(found);
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    result<std::vector<std::string>> list(const std::string &prefix, const std::string &after, std::size_t limit)
    {
        ++reads;
        std::vector<std::string> keys;
        for (auto at = objects.upper_bound(std::max(prefix, after)); at != objects.end() && keys.size() < limit; ++at) {
            if (at->first.starts_with(prefix))
                keys.push_back(at->first);
        }
        return keys;
    }
};

/// One host: runs its events in order, defers them while it is paused, and drops them after it was killed.
class pausable_host
{
public:
    explicit pausable_host(simulation &sim)
        : m_sim(sim)
        , m_alive(std::make_shared<bool>(true))
    {
    }

    void pause(instant duration) { m_pausedUntil = std::max(m_pausedUntil, m_sim.now() + duration); }
    void kill() { *m_alive = false; }
    [[nodiscard]] bool isAlive() const { return *m_alive; }

    void deliver(instant delay, std::function<void()> event)
    {
        m_sim.after(delay, [this, alive = m_alive, event = std::move(event)]() mutable {
            if (!*alive)
                return;
            if (m_sim.now() < m_pausedUntil)
                return deliver(m_pausedUntil - m_sim.now(), std::move(event));
            event();
        });
    }

private:
    simulation &m_sim;
    std::shared_ptr<bool> m_alive;
    instant m_pausedUntil{};
};

/// One host's connection to the store.
class faulty_store : public object_store
{
public:
    faulty_store(simulation &sim, shared_store &store, pausable_host &host, const fault_rates &faults)
        : m_sim(sim)
        , m_store(store)
        , m_host(host)
        , m_faults(faults)
    {
    }

    void read(const std::string &key, read_done done) override
    {
        call<result<stored_object>>([this, key] { return m_store.read(key); }, std::move(done));
    }

    void write(const std::string &key, std::string body, object_version expected, write_done done) override
    {
        call<result<object_version>>([this, key, body, expected] { return m_store.write(key, body, expected); },
                                     std::move(done));
    }

    void remove(const std::string &key, object_version expected, remove_done done) override
    {
        call<result<void>>([this, key, expected] { return m_store.remove(key, expected); }, std::move(done));
    }

    void list(const std::string &prefix, const std::string &after, std::size_t limit, list_done done) override
    {
        call<result<std::vector<std::string>>>(
            [this, prefix, after, limit] { return m_store.list(prefix, after, limit); }, std::move(done));
    }

private:
    static constexpr std::uint64_t kMaxOneWayUs = 2000; ///< upper bound of the one-way delay to the store

    template <typename value_type>
    void call(std::function<value_type()> effect, std::function<void(value_type)> done)
    {
        const instant requestDelay{200 + m_sim.below(kMaxOneWayUs)};
        const instant responseDelay{200 + m_sim.below(kMaxOneWayUs)};
        const auto fail = [this, done](instant delay, error_code code) {
            m_host.deliver(delay, [done, code] { done(error{code, "fake"}); });
        };
        if (m_sim.chance(m_faults.refused))
            return fail(requestDelay + responseDelay, error_code::unavailable);
        if (m_sim.chance(m_faults.lostCall))
            return fail(requestDelay + responseDelay, error_code::timed_out);
        const bool isLost = m_sim.chance(m_faults.lostResponse);
        const bool isDelayed = m_sim.chance(m_faults.delayed);
        if (isLost || isDelayed)
            fail(requestDelay + responseDelay, isLost ? error_code::io_failure : error_code::timed_out);
        const auto effectDelay = isDelayed ? instant(m_sim.below(m_faults.maxDelayUs)) : instant{};
        m_sim.after(requestDelay + effectDelay,
                    [this, &host = m_host, &store = m_store, effect, done, responseDelay, isLost, isDelayed] {
                        if (store.isDown) {
                            if (!isLost && !isDelayed)
                                host.deliver(responseDelay, [done] { done(error{error_code::unavailable, "fake"}); });
                            return;
                        }
                        const auto value = effect();
                        if (!isLost && !isDelayed)
                            host.deliver(responseDelay, [done, value] { done(value); });
                    });
    }

    simulation &m_sim;
    shared_store &m_store;
    pausable_host &m_host;
    const fault_rates &m_faults;
};

/// Writers of the effective records, by type and id.
using effective_writers = std::map<std::string, std::string>;

inline void applyAll(ledger_index &index, effective_writers &writers, const std::string &body)
{
    const auto batch = decodeRecords(body);
    for (const auto &record : batch.value().records) {
        if (index.apply(record))
            writers.try_emplace(std::string(nameOf(record.type)) + " " + record.id, record.writer);
    }
}

/// Reads a segment from its snapshot and the batches after it, as a restarted host does.
inline effective_writers readFromScratch(shared_store &store, std::uint32_t segment)
{
    ledger_index index(std::chrono::hours(1));
    effective_writers writers;
    snapshot_head head;
    if (const auto found = store.read(headKey(segment)); found.has_value())
        head = decodeHead(found.value().body).value();
    for (const auto &part : head.parts)
        applyAll(index, writers, store.read(part.key).value().body);
    for (auto next = head.index; store.objects.contains(batchKey(segment, next)); ++next)
        applyAll(index, writers, store.objects[batchKey(segment, next)].body);
    return writers;
}

/// Reads a segment from the first object that was ever created at each index, including deleted ones.
inline effective_writers readHistory(const shared_store &store, std::uint32_t segment)
{
    ledger_index index(std::chrono::hours(1));
    effective_writers writers;
    for (log_index next = 0; store.firstBodies.contains(batchKey(segment, next)); ++next)
        applyAll(index, writers, store.firstBodies.at(batchKey(segment, next)));
    return writers;
}

} // namespace foxtaildyke::testing
