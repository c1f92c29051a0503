// Object store client: a wrong error code could make the ledger treat a write that took effect as not written.
#include "loopback_p.h"
#include "object_store_http_p.h"

using namespace foxtaildyke;

namespace
{

constexpr std::chrono::milliseconds kTimeout{150};

/// Runs one write against a server with the given handler.
result<object_version> writeOnce(loopback &net, const std::function<void(const http_exchange_ptr &)> &serve)
{
    net.serve = serve;
    object_store_http store(net.client, net.endpoint, kTimeout);
    std::vector<result<object_version>> results;
    store.write("claims/a b/1", "body", 0, [&](const result<object_version> &written) {
        results.push_back(written);
        net.stopSoon();
    });
    REQUIRE(net.run());
    REQUIRE(results.size() == 1);
    return results.front();
}

} // namespace

TEST_CASE("each response status of a write maps to its error code")
{
    struct expectation {
        int status;
        error_code code;
    };
    const std::vector<expectation> expectations{
        {412, error_code::conflict},    {503, error_code::unavailable}, {404, error_code::not_found},
        {413, error_code::too_large},   {500, error_code::io_failure},  {428, error_code::protocol_violation},
        {429, error_code::unavailable},
    };
    loopback net;
    for (const auto &expected : expectations) {
        CAPTURE(expected.status);
        const auto written =
            writeOnce(net, [&](const http_exchange_ptr &exchange) { exchange->respond(expected.status, {}); });
        REQUIRE(written.has_error());
        CHECK(written.error().code == expected.code);
        CHECK(written.error().field == "claims/a b/1");
    }
}

TEST_CASE("a write sends its key and condition and returns the new version")
{
    loopback net;
    std::string condition;
    std::string path;
    std::string body;
    const auto written = writeOnce(net, [&](const http_exchange_ptr &exchange) {
        condition = exchange->header("If-None-Match");
        path = exchange->path;
        body = exchange->body;
        exchange->respond(201, {}, {{"ETag", "\"17\""}});
    });
    REQUIRE(written.has_value());
    CHECK(written.value() == 17);
    CHECK(condition == "*");
    CHECK(path == "/objects/claims/a b/1");
    CHECK(body == "body");
}

TEST_CASE("a write whose connection closes without a response is an I/O failure, not a refusal")
{
    loopback net;
    const auto written = writeOnce(net, [](const http_exchange_ptr &exchange) { exchange->drop(); });
    REQUIRE(written.has_error());
    CHECK(written.error().code == error_code::io_failure);
}

TEST_CASE("a write without a timely response times out, and a late response has no effect")
{
    loopback net;
    std::vector<http_exchange_ptr> openExchanges;
    const auto written = writeOnce(net, [&](const http_exchange_ptr &exchange) { openExchanges.push_back(exchange); });
    REQUIRE(written.has_error());
    CHECK(written.error().code == error_code::timed_out);
    openExchanges.front()->respond(201, {}, {{"ETag", "\"1\""}});
    net.stopSoon();
    CHECK(net.run());
}

TEST_CASE("a successful write without a valid version in the response is an I/O failure")
{
    loopback net;
    const auto written = writeOnce(net, [](const http_exchange_ptr &exchange) { exchange->respond(200, {}); });
    REQUIRE(written.has_error());
    CHECK(written.error().code == error_code::io_failure);
}

TEST_CASE("a refused connection is reported as unavailable: nothing was written")
{
    loopback net;
    http_endpoint closed{"127.0.0.1", 0};
    {
        http_server other(net.loop, [](const http_exchange_ptr &) {});
        closed.port = other.listen(closed).value();
    }
    object_store_http store(net.client, closed, kTimeout);
    std::vector<error_code> codes;
    store.read("x", [&](const result<stored_object> &read) {
        codes.push_back(read.error().code);
        net.stopSoon();
    });
    CHECK(codes.empty());
    REQUIRE(net.run());
    CHECK(codes == std::vector{error_code::unavailable});
}

TEST_CASE("a listing returns the keys in order, and a malformed one is a protocol violation")
{
    loopback net;
    object_store_http store(net.client, net.endpoint, kTimeout);
    std::vector<std::string> bodies{R"({"items":[{"key":"a/1","version":1},{"key":"a/2","version":2}]})", R"({"x":1})"};
    std::size_t served = 0;
    std::map<std::string, std::string> query;
    net.serve = [&](const http_exchange_ptr &exchange) {
        query = exchange->query;
        exchange->respond(200, bodies[served++]);
    };
    std::vector<result<std::vector<std::string>>> lists;
    store.list("a/", "a/0", 10, [&](const result<std::vector<std::string>> &list) {
        lists.push_back(list);
        store.list("a/", "", 10, [&](const result<std::vector<std::string>> &second) {
            lists.push_back(second);
            net.loop.stop();
        });
    });
    REQUIRE(net.run());
    REQUIRE(lists.size() == 2);
    CHECK(lists[0].value() == std::vector<std::string>{"a/1", "a/2"});
    CHECK(lists[1].error().code == error_code::protocol_violation);
    CHECK(query["prefix"] == "a/");
    CHECK(query["limit"] == "10");
}
