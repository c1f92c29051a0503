// Which host is chosen to serve a request in place of one that is cut off, and the protocol between the two.
#include "detour_wire_p.h"
#include "wire_names.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace foxtaildyke;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr instant kStart{std::chrono::seconds{1000}};

http_endpoint addressOf(int index)
{
    return {"10.0.0." + std::to_string(index), 7000};
}

/// @returns the statement of a host that has reached service "s" this long ago.
host_statement statementOf(int index, milliseconds contactAge, std::uint32_t detours = 0)
{
    host_statement statement;
    statement.host = "host-" + std::to_string(index);
    statement.address = addressOf(index);
    statement.detours = detours;
    statement.contacts["s"] = contactAge;
    return statement;
}

detour_hosts makeHosts(std::vector<http_endpoint> first = {})
{
    return {"host-0", std::move(first), 1};
}

} // namespace

TEST_CASE("detour hosts: only a host that has reached the service since the cut is chosen")
{
    auto hosts = makeHosts();
    const auto cutAt = kStart;
    hosts.record(statementOf(1, milliseconds{600}), kStart + milliseconds{500}); // before the cut
    CHECK_FALSE(hosts.choose("s", cutAt, {}, kStart + milliseconds{500}));
    CHECK_FALSE(hosts.isReachedByOthers("s", cutAt, kStart + milliseconds{500}));
    hosts.record(statementOf(2, milliseconds{10}), kStart + milliseconds{500});
    CHECK(hosts.choose("s", cutAt, {}, kStart + milliseconds{500}) == addressOf(2));
    CHECK(hosts.isReachedByOthers("s", cutAt, kStart + milliseconds{500}));
    CHECK_FALSE(hosts.choose("another", cutAt, {}, kStart + milliseconds{500}));
}

TEST_CASE("detour hosts: a host is not chosen twice for a request, after a failure, or by an old statement")
{
    auto hosts = makeHosts();
    hosts.record(statementOf(1, milliseconds{1}), kStart + seconds{1});
    CHECK_FALSE(hosts.choose("s", kStart, {addressOf(1)}, kStart + seconds{1}));
    hosts.recordFailure(addressOf(1), kStart + seconds{1});
    CHECK_FALSE(hosts.choose("s", kStart, {}, kStart + seconds{1}));
    CHECK(hosts.choose("s", kStart, {}, kStart + seconds{2} + milliseconds{1}));
    CHECK_FALSE(hosts.choose("s", kStart, {}, kStart + seconds{1} + detour_hosts::kMaxAge));
}

TEST_CASE("detour hosts: a host that has refused a request as busy may be chosen again soon, and is still asked")
{
    constexpr milliseconds kSoon{50};
    auto hosts = makeHosts();
    const auto now = kStart + seconds{1};
    hosts.record(statementOf(1, milliseconds{1}), now);
    hosts.recordFailure(addressOf(1), now, pauseAfter(detour_refusal::busy));
    CHECK_FALSE(hosts.choose("s", kStart, {}, now));
    CHECK(hosts.choose("s", kStart, {}, now + kSoon) == addressOf(1));
    CHECK(hosts.mayChooseSoon("s", kStart, now));
    CHECK_FALSE(hosts.mayChooseSoon("another", kStart, now));
    CHECK_FALSE(hosts.mayChooseSoon("s", kStart, now + detour_hosts::kMaxAge)); // its statement is too old
    CHECK(hosts.nextContacts(true, now) == std::vector{addressOf(1)});
}

TEST_CASE("detour hosts: a host that has failed, or reaches the service no more, is not waited for")
{
    for (const auto refusal : {detour_refusal::none, detour_refusal::cut_off}) {
        auto hosts = makeHosts();
        const auto now = kStart + seconds{1};
        hosts.record(statementOf(1, milliseconds{1}), now);
        hosts.recordFailure(addressOf(1), now, pauseAfter(refusal));
        CHECK_FALSE(hosts.choose("s", kStart, {}, now + milliseconds{900}));
        CHECK_FALSE(hosts.mayChooseSoon("s", kStart, now));
        CHECK(hosts.nextContacts(true, now).empty());
    }
}

TEST_CASE("detour hosts: requests are spread, and a busy host gets fewer")
{
    auto hosts = makeHosts();
    for (int index = 1; index <= 5; ++index)
        hosts.record(statementOf(index, milliseconds{1}, index == 5 ? 200 : 0), kStart + seconds{1});
    std::map<http_endpoint, int> chosen;
    for (int request = 0; request < 400; ++request) {
        const auto host = hosts.choose("s", kStart, {}, kStart + seconds{1});
        REQUIRE(host);
        hosts.recordStart(*host);
        ++chosen[*host];
    }
    CHECK(chosen[addressOf(5)] <= 20); // only once the others have as many
    for (int index = 1; index <= 4; ++index)
        CHECK(chosen[addressOf(index)] >= 60);
}

TEST_CASE("detour hosts: what a host says of others is passed on, this host and older statements aren't recorded")
{
    auto hosts = makeHosts();
    hosts.record(statementOf(0, milliseconds{1}), kStart);
    CHECK(hosts.size() == 0);
    hosts.record(statementOf(1, milliseconds{1}, 7), kStart + seconds{2});
    hosts.record(statementOf(1, milliseconds{1}, 9), kStart + seconds{1});
    hosts.record(statementOf(2, milliseconds{1}), kStart + seconds{2});
    const auto passedOn = hosts.sample("host-2", kStart + seconds{3});
    REQUIRE(passedOn.size() == 1);
    CHECK(passedOn.front().statement.host == "host-1");
    CHECK(passedOn.front().statement.detours == 7);
    CHECK(passedOn.front().age == seconds{1});
    hosts.expire(kStart + seconds{2} + detour_hosts::kLifetime);
    CHECK(hosts.size() == 0);
}

TEST_CASE("detour hosts: the first contacts are asked in turn with known hosts, and several while cut off")
{
    auto hosts = makeHosts({addressOf(1)});
    CHECK(hosts.nextContacts(false, kStart) == std::vector{addressOf(1)});
    CHECK(hosts.nextContacts(false, kStart) == std::vector{addressOf(1)}); // none is known yet
    for (int index = 2; index <= 9; ++index)
        hosts.record(statementOf(index, milliseconds{1}), kStart);
    std::set<http_endpoint> asked;
    for (int round = 0; round < 40; ++round)
        for (const auto &contact : hosts.nextContacts(false, kStart))
            asked.insert(contact);
    CHECK(asked.size() > 4);
    CHECK(hosts.nextContacts(true, kStart).size() == detour_hosts::kUrgentContacts);
}

TEST_CASE("detour protocol: statements survive encoding")
{
    auto own = statementOf(1, milliseconds{20}, 3);
    own.cutOff = {"t"};
    const auto decoded =
        decodeStatements(encodeStatements(own, {{statementOf(2, milliseconds{30}), milliseconds{400}}}));
    REQUIRE(decoded.size() == 2);
    CHECK(decoded[0].statement.host == "host-1");
    CHECK(decoded[0].statement.address == addressOf(1));
    CHECK(decoded[0].statement.detours == 3);
    CHECK(decoded[0].statement.contacts.at("s") == milliseconds{20});
    CHECK(decoded[0].statement.cutOff == std::vector<std::string>{"t"});
    CHECK(decoded[1].age == milliseconds{400});
}

TEST_CASE("detour protocol: anything else than a statement is ignored")
{
    for (const std::string text :
         {"", "{", "[]", "7", R"({"host":1})", R"({"host":"h","address":"x","detours":0,"contacts":{}})",
          R"({"host":"h","address":"10.0.0.1:1","detours":-1,"contacts":{}})",
          R"({"host":"h","address":"10.0.0.1:1","detours":0,"contacts":[]})"})
        CHECK(decodeStatements(text).empty());
    const auto odd = decodeStatements(
        R"({"host":"h","address":"10.0.0.1:1","detours":0,"contacts":{"s":"x","t":-5,"u":1e99},"others":[1,{}]})");
    REQUIRE(odd.size() == 1);
    CHECK(odd[0].statement.contacts.empty());
    setenv("RC_PARAMS", "seed=20261205 max_success=300", 0); // NOLINT(concurrency-mt-unsafe): single-threaded test
    CHECK(rc::check("any bytes", [](const std::string &text) { static_cast<void>(decodeStatements(text)); }));
}

TEST_CASE("detour protocol: a caller's own headers of these names aren't believed, its key and id are kept")
{
    inbound_request request;
    request.head.method = "POST";
    request.head.target = "/once/x";
    request.head.headers = {{"Host", "h.example"},         {"Foxtaildyke-Request-Id", "id-1"},
                            {"Authorization", "Bearer k"}, {"Foxtaildyke-Deadline-Ms", "9000"},
                            {"Detour-Host", "evil"},       {"Detour-Sends", "0"},
                            {"Detour-Model", "2"},         {"Foxtaildyke-Tenant", "another"}};
    const detour_request detour{"host-0", "s", 7, 1, std::nullopt};
    const auto text = detourHead(request, detour, milliseconds{1200}, 5, platform::makeHeaderNames());
    http_parser parser(message_type::request);
    parser.feed(
        text, [](std::string_view) {}, true);
    auto head = parser.head();
    CHECK(head.header("Authorization") == "Bearer k");
    CHECK(head.header("Foxtaildyke-Request-Id") == "id-1");
    CHECK(head.header("Foxtaildyke-Deadline-Ms") == "1200");
    CHECK(head.header("Last-Event-Id") == "5");
    CHECK(head.header("Foxtaildyke-Tenant").empty());
    CHECK(head.header("Foxtaildyke-Expect-Replica").empty());
    const auto taken = takeDetour(head);
    REQUIRE(taken);
    CHECK(taken->host == "host-0");
    CHECK(taken->service == "s");
    CHECK(taken->generation == 7);
    CHECK(taken->sends == 1);
    CHECK_FALSE(taken->model);
    CHECK(std::ranges::none_of(head.headers, [](const auto &entry) { return entry.first.starts_with("Detour-"); }));
    CHECK_FALSE(takeDetour(head)); // a request without these headers isn't one of another host
}

TEST_CASE("detour protocol: the replica that responded is told, and removed before the caller gets the response")
{
    message_head head;
    head.headers = {{"Content-Type", "text/plain"}};
    addDetourResponse(head.headers, {detour_refusal::none, replica_run{"i-1 2", 1700}, 2});
    const auto taken = takeDetourResponse(head);
    REQUIRE(taken.replica);
    CHECK(taken.replica->id == "i-1 2");
    CHECK(taken.replica->startedAtMs == 1700);
    CHECK(taken.model == 2);
    CHECK(taken.refusal == detour_refusal::none);
    CHECK(head.headers.size() == 1);
    head.headers = refusedDetourHeaders(detour_refusal::outdated);
    CHECK(takeDetourResponse(head).refusal == detour_refusal::outdated);
    CHECK(head.headers.empty());
    head.headers = {{"Detour-Refused", "for a reason of a newer build"}};
    CHECK(takeDetourResponse(head).refusal != detour_refusal::none);
}
