// Publishing of changes: a lost response must neither cause a second change nor hide the first, and concurrent
// operators must not overwrite each other or undo a withdrawal.
#include "control_fakes_p.h"

#include <doctest/doctest.h>

using namespace foxtaildyke;

namespace
{

using std::chrono::milliseconds;

struct fixture {
    fake_store store;
    config_publisher publisher{store};
    instant now{};

    fixture()
    {
        const auto outcome = publish("first", 0, diffLayers({}, controlLayers(3)));
        REQUIRE(outcome->has_value());
    }

    using outcome_ptr = std::shared_ptr<std::optional<result<published_change>>>;

    outcome_ptr start(const std::string &id, generation_number seen, std::vector<config_edit> edits)
    {
        auto outcome = std::make_shared<std::optional<result<published_change>>>();
        publisher.publish({id, "ada", 0, seen, std::move(edits)},
                          [outcome](const result<published_change> &done) { *outcome = done; });
        return outcome;
    }

    /// Publishes a change and advances time until it has completed.
    result<published_change> *publish(const std::string &id, generation_number seen, std::vector<config_edit> edits)
    {
        m_last = start(id, seen, std::move(edits));
        run(milliseconds(12000), [&] { return m_last->has_value(); });
        REQUIRE(m_last->has_value());
        return &**m_last;
    }

    void run(
        milliseconds duration, const std::function<bool()> &isDone = [] { return false; })
    {
        for (const auto end = now + duration; now < end && !isDone(); now += milliseconds(50))
            publisher.tick(now);
    }

    [[nodiscard]] std::string valueOfKey(const std::string &section, const std::string &key) const
    {
        return store.config().layers.base.at(section).at(key);
    }

private:
    outcome_ptr m_last;
};

config_edit setBurst(const std::string &value)
{
    return {"", "account a", "burst", value};
}

config_edit setConcurrency(const std::string &value)
{
    return {"", "account a", "concurrency", value};
}

} // namespace

TEST_CASE("a change increments the generation and records author and edits")
{
    fixture test;
    const auto *outcome = test.publish("c1", 1, {setBurst("5")});
    REQUIRE(outcome->has_value());
    CHECK(outcome->value().generation == 2);
    const auto document = test.store.config();
    CHECK(document.generation == 2);
    CHECK(document.history.back().author == "ada");
    CHECK(document.history.back().edits.at(0).value == "5");
}

TEST_CASE("a write whose response is lost is found by its change id and made once")
{
    fixture test;
    test.store.faults = {write_fault::response_lost};
    const auto *outcome = test.publish("c1", 1, {setBurst("5")});
    REQUIRE(outcome->has_value());
    CHECK(outcome->value().generation == 2);
    CHECK(test.store.config().generation == 2);
}

TEST_CASE("a write that never arrived is retried")
{
    fixture test;
    test.store.faults = {write_fault::never_arrives, write_fault::never_arrives};
    CHECK(test.publish("c1", 1, {setBurst("5")})->value().generation == 2);
    CHECK(test.valueOfKey("account a", "burst") == "5");
}

TEST_CASE("a write that arrives after its retry makes no second change")
{
    fixture test;
    test.store.faults = {write_fault::arrives_late};
    CHECK(test.publish("c1", 1, {setBurst("5")})->value().generation == 2);
    test.store.deliverDelayed();
    CHECK(test.store.config().generation == 2);

    test.store.faults = {write_fault::arrives_late};
    const auto second = test.start("c2", 2, {setBurst("6")});
    test.store.deliverDelayed(); // Before the read that resolves the outcome.
    test.run(milliseconds(1000));
    REQUIRE(second->has_value());
    CHECK((*second)->value().generation == 3);
    CHECK(test.store.config().generation == 3);
}

TEST_CASE("a retried change id returns the generation of the first attempt")
{
    fixture test;
    CHECK(test.publish("c1", 1, {setBurst("5")})->value().generation == 2);
    CHECK(test.publish("c2", 2, {setBurst("6")})->value().generation == 3);
    CHECK(test.publish("c1", 1, {setBurst("5")})->value().generation == 2);
    CHECK(test.valueOfKey("account a", "burst") == "6");
}

TEST_CASE("a short outage delays a change, and a longer one reports that nothing was written")
{
    fixture test;
    test.store.outage = true;
    const auto delayed = test.start("c1", 1, {setBurst("5")});
    test.run(milliseconds(5000));
    CHECK_FALSE(delayed->has_value());
    test.store.outage = false;
    test.run(milliseconds(1000));
    REQUIRE(delayed->has_value());
    CHECK((*delayed)->value().generation == 2);

    test.store.outage = true;
    const auto *refused = test.publish("c2", 2, {setBurst("6")});
    REQUIRE(refused->has_error());
    CHECK(refused->error().code == error_code::unavailable);
    CHECK(test.store.config().generation == 2);
}

TEST_CASE("a write whose outcome is unknown at the timeout is reported as timed out")
{
    fixture test;
    test.store.faults = {write_fault::response_lost};
    test.store.beforeConfigWrite = [&] {
        test.store.outage = false;
    };
    const auto outcome = test.start("c1", 1, {setBurst("5")});
    test.store.outage = true;
    test.run(milliseconds(12000));
    REQUIRE(outcome->has_value());
    REQUIRE((*outcome)->has_error());
    CHECK((*outcome)->error().code == error_code::timed_out);
    // The operator retries with the same id once the store is available.
    test.store.outage = false;
    CHECK(test.publish("c1", 1, {setBurst("5")})->value().generation == 2);
    CHECK(test.store.config().generation == 2);
}

TEST_CASE("of two operators who change the same key, the second gets a conflict")
{
    fixture test;
    CHECK(test.publish("c1", 1, {setBurst("5")})->has_value());
    const auto *second = test.publish("c2", 1, {setBurst("6")});
    REQUIRE(second->has_error());
    CHECK(second->error().code == error_code::conflict);
    CHECK(second->error().field == "account a/burst");
    CHECK(test.valueOfKey("account a", "burst") == "5");
    const auto *removal = test.publish("c3", 1, {{"", "account a", "", std::nullopt}});
    REQUIRE(removal->has_error());
    CHECK(removal->error().code == error_code::conflict);
}

TEST_CASE("concurrent changes of different keys both succeed")
{
    fixture test;
    std::shared_ptr<std::optional<result<published_change>>> other;
    test.store.beforeConfigWrite = [&] {
        other = test.start("c2", 1, {setConcurrency("7")});
    };
    CHECK(test.publish("c1", 1, {setBurst("5")})->value().generation == 3);
    REQUIRE(other->has_value());
    CHECK((*other)->value().generation == 2);
    CHECK(test.valueOfKey("account a", "burst") == "5");
    CHECK(test.valueOfKey("account a", "concurrency") == "7");
}

TEST_CASE("a change that must be the newest conflicts with any other")
{
    fixture test;
    CHECK(test.publish("c1", 1, {setBurst("5")})->has_value());
    std::optional<result<published_change>> outcome;
    change_request request{"c2", "controller", 0, 1, {setConcurrency("7")}};
    request.mustBeNewest = true;
    test.publisher.publish(request, [&](const result<published_change> &done) { outcome = done; });
    REQUIRE(outcome.has_value());
    CHECK(outcome->error().code == error_code::conflict);
}

TEST_CASE("a withdrawal never conflicts and is never undone")
{
    fixture test;
    CHECK(test.publish("c1", 1, {{"", "version v2", "share_permille", "5"}})->has_value());
    CHECK(test.publish("c2", 1, {{"", "version v2", "state", "halted"}})->has_value());
    CHECK(test.publish("w", 1, {withdrawalOf("v2")})->value().generation == 4);
    const auto *undone = test.publish("c3", 4, {{"", "version v2", "state", "active"}});
    REQUIRE(undone->has_error());
    CHECK(undone->error().code == error_code::version_reinstated);
    const auto *raced = test.publish("c4", 3, {{"", "version v2", "state", "rolling_out"}});
    REQUIRE(raced->has_error());
    CHECK(raced->error().code == error_code::conflict);
    // A second withdrawal creates no new generation.
    CHECK(test.publish("w2", 1, {withdrawalOf("v2")})->value().generation == 4);
    CHECK(test.valueOfKey("version v2", "state") == "withdrawn");
    CHECK(test.publish("w3", 1, {withdrawalOf("v9")})->error().code == error_code::not_found);
}

TEST_CASE("invalid changes are not written")
{
    fixture test;
    CHECK(test.publish("c1", 1, {setBurst("0")})->error().code == error_code::value_out_of_range);
    CHECK(test.publish("c2", 9, {setBurst("1")})->error().code == error_code::stale_generation);
    CHECK(test.store.config().generation == 1);
}

TEST_CASE("a change based on a generation older than the history conflicts")
{
    fixture test;
    for (generation_number i = 1; i <= config_document::kHistoryLength + 1; ++i)
        REQUIRE(test.publish("c" + std::to_string(i), i, {setBurst(std::to_string(i + 1))})->has_value());
    CHECK(test.store.config().history.size() == config_document::kHistoryLength);
    const auto *outcome = test.publish("late", 1, {setConcurrency("2")});
    REQUIRE(outcome->has_error());
    CHECK(outcome->error().code == error_code::conflict);
}
