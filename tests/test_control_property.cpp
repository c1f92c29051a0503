// Properties of publishing and of the controller lease under reordered calls, lost responses, outages and pauses: a
// change is made at most once and its outcome is reported correctly, a withdrawal is final, and two processes never act
// at the same time.
#include "control_fakes_p.h"
#include "seeded_property.h"
#include "shuffled_store_p.h"

#include <doctest/doctest.h>

using namespace foxtaildyke;
using foxtaildyke::testing::propertyHolds;

namespace
{

using std::chrono::milliseconds;

/// An operator's change and its outcome.
struct attempted_change {
    change_request request;
    std::optional<result<published_change>> outcome;
};

/// Operators of several control processes that change a few keys at random times.
class operators_simulation
{
public:
    explicit operators_simulation(std::uint32_t seed)
        : m_store(seed)
        , m_random(seed + 1)
    {
        for (int i = 0; i < 3; ++i)
            m_publishers.push_back(std::make_unique<config_publisher>(m_store));
        start(diffLayers({}, controlLayers(3)));
        settle();
    }

    void run(int steps, unsigned lossPercent)
    {
        m_store.lossPercent = lossPercent;
        for (int i = 0; i < steps; ++i) {
            m_now += milliseconds(m_random() % 400);
            if (m_random() % 12 == 0 && m_changes.size() < 40)
                start(randomEdits());
            if (m_random() % 20 == 0)
                m_store.outage = m_random() % 3 == 0;
            for (const auto &publisher : m_publishers)
                publisher->tick(m_now);
            m_store.step();
        }
    }

    /// Completes all open calls and changes without further faults.
    void settle()
    {
        m_store.outage = false;
        m_store.lossPercent = 0;
        for (int i = 0; i < 2000; ++i) {
            m_now += milliseconds(20);
            for (const auto &publisher : m_publishers)
                publisher->tick(m_now);
            m_store.step();
        }
    }

    [[nodiscard]] config_document config() const { return decodeConfig(m_store.find("config/current").body).value(); }
    [[nodiscard]] const std::deque<attempted_change> &changes() const { return m_changes; }
    [[nodiscard]] bool isIdle() const { return m_store.isIdle(); }

private:
    std::vector<config_edit> randomEdits()
    {
        const auto value = std::to_string(m_changes.size() + 1);
        switch (m_random() % 5) {
        case 0:
            return {withdrawalOf("v2")};
        case 1:
            return {{"", "version v2", "state", m_random() % 2 == 0 ? "active" : "halted"}};
        case 2:
            return {{"", "version v2", "share_permille", value}};
        case 3:
            return {{"", "account a", "burst", value}};
        default:
            return {{"", "account a", "concurrency", value}};
        }
    }

    void start(std::vector<config_edit> edits)
    {
        auto &change = m_changes.emplace_back();
        change.request.changeId = "c" + std::to_string(m_changes.size());
        const auto body = m_store.find("config/current").body;
        const auto newest = body.empty() ? 0 : decodeConfig(body).value().generation;
        change.request.seen = newest - std::min<generation_number>(newest, m_random() % 3);
        change.request.edits = std::move(edits);
        m_publishers[m_random() % m_publishers.size()]->publish(
            change.request, [&change](const result<published_change> &done) { change.outcome = done; });
    }

    shuffled_store m_store;
    std::mt19937 m_random;
    std::vector<std::unique_ptr<config_publisher>> m_publishers;
    std::deque<attempted_change> m_changes; ///< callbacks refer to its elements
    instant m_now{};
};

bool isInHistory(const config_document &document, const std::string &changeId)
{
    return std::ranges::count(document.history, changeId, &config_change::changeId) == 1;
}

/// @returns the layers that result from applying the changes of the history in order.
config_layers replay(const config_document &document)
{
    config_layers layers;
    for (const auto &change : document.history)
        layers = applyEdits(layers, change.edits).value();
    return layers;
}

bool withdraws(const attempted_change &change)
{
    return change.request.edits.front().value == "withdrawn";
}

/// Checks the outcome reported to an operator against the stored configuration.
void checkReportedOutcome(const attempted_change &change, const config_document &document)
{
    RC_ASSERT(change.outcome.has_value());
    const auto &outcome = *change.outcome;
    const bool isMade = isInHistory(document, change.request.changeId);
    if (outcome.has_error()) {
        // A change reported as failed may be stored only if its outcome was reported as unknown.
        RC_ASSERT(!isMade || outcome.error().code == error_code::timed_out);
        return;
    }
    if (withdraws(change))
        RC_ASSERT(document.layers.base.at("version v2").at("state") == "withdrawn");
    if (outcome.value().isNew)
        RC_ASSERT(isMade);
}

} // namespace

TEST_CASE("property: concurrent operators on a faulty store get correct outcomes and each change is made once")
{
    std::size_t published = 0;
    std::size_t conflicts = 0;
    std::size_t inDoubt = 0;
    CHECK(propertyHolds([&] {
        operators_simulation simulation(*rc::gen::arbitrary<std::uint32_t>());
        simulation.run(600, *rc::gen::inRange(0U, 40U));
        simulation.settle();
        RC_ASSERT(simulation.isIdle());
        const auto document = simulation.config();
        // One generation per change in the history: nothing was overwritten or made twice.
        RC_ASSERT(document.history.size() == document.generation);
        RC_ASSERT(replay(document).base == document.layers.base);
        for (const auto &change : simulation.changes()) {
            checkReportedOutcome(change, document);
            const auto &outcome = *change.outcome;
            published += outcome.has_value() ? 1 : 0;
            conflicts += outcome.has_error() && outcome.error().code == error_code::conflict ? 1 : 0;
            inDoubt += outcome.has_error() && outcome.error().code == error_code::timed_out ? 1 : 0;
        }
    }));
    // The simulation must reach each of these outcomes.
    CHECK(published > 0);
    CHECK(conflicts > 0);
    CHECK(inDoubt > 0);
}

TEST_CASE("property: two control processes never act at the same time, and each new holder has a higher token")
{
    std::size_t terms = 0;
    CHECK(propertyHolds([&] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        shuffled_store store(seed);
        store.lossPercent = *rc::gen::inRange(0U, 40U);
        std::mt19937 random(seed + 1);
        std::vector<std::unique_ptr<controller_lease>> leases;
        for (const std::string name : {"a/1", "b/1", "c/1"})
            leases.push_back(std::make_unique<controller_lease>(store, name));
        instant now{1};
        std::vector<instant> pausedUntil(leases.size());
        std::uint64_t highestToken = 0;
        std::optional<std::size_t> lastHolder;
        for (int i = 0; i < 3000; ++i) {
            now += milliseconds(random() % 120);
            if (random() % 200 == 0)
                pausedUntil[random() % leases.size()] = now + milliseconds(random() % 15000);
            if (random() % 150 == 0)
                store.outage = random() % 4 == 0;
            for (std::size_t candidate = 0; candidate < leases.size(); ++candidate)
                if (now >= pausedUntil[candidate])
                    leases[candidate]->tick(now, milliseconds(1000));
            store.step();
            store.step();
            const auto mayAct = [now](const auto &lease) {
                return lease->mayAct(now);
            };
            RC_ASSERT(std::ranges::count_if(leases, mayAct) <= 1);
            const auto holder = std::ranges::find_if(leases, mayAct);
            if (holder == leases.end())
                continue;
            const auto index = static_cast<std::size_t>(holder - leases.begin());
            const auto minToken = lastHolder == index ? highestToken : highestToken + 1;
            RC_ASSERT((*holder)->token() >= minToken);
            terms += lastHolder == index ? 0 : 1;
            highestToken = (*holder)->token();
            lastHolder = index;
        }
    }));
    CHECK(terms > 300); // On average, more than one change of the holder per case.
}
