// Settings: every typed error of the parser and the checks, and round trips of text, edits and JSON. An invalid
// document that passes the checks would be published to all hosts.
#include "seeded_property.h"
#include "settings_p.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace foxtaildyke;
using foxtaildyke::testing::propertyHolds;

namespace
{

constexpr std::string_view kBase = R"([account ada]
api_key = ada-key-1
requests_per_second = 10
burst = 20
concurrency = 4
grants = small-1 large
[account bo]
api_key = bo-key-22
requests_per_second = 5
grants = small-1
[model small]
service = pool
[model large]
service = pool
[version small-1]
model = small
[version small-2]
model = small
state = rolling_out
share_permille = 100
baseline = small-1
[version small-0]
model = small
state = withdrawn
[version large-1]
model = large
[kind ask]
class = standard
cascade = small large
deadline_ms = 1000
[kind once]
idempotent = false
cascade = large
[host h1]
region = r
failure_domain = east
address = 127.0.0.1
peer_port = 7000
[tuning]
session_key = 0123456789abcdef
)";

config_layers makeLayers(std::string_view overlay = "")
{
    config_layers layers;
    layers.base = parseIni(kBase).value();
    if (!overlay.empty())
        layers.overlays["east"] = parseIni(overlay).value();
    return layers;
}

/// Checks the base with one key set, or removed where there is no value.
result<void> checkWithKey(const std::string &section, const std::string &key, std::optional<std::string> value)
{
    auto layers = makeLayers();
    if (value)
        layers.base[section][key] = *value;
    else
        layers.base[section].erase(key);
    return checkLayers(layers);
}

void checkError(const result<void> &checked, error_code code, const std::string &field)
{
    REQUIRE(checked.has_error());
    CHECK(nameOf(checked.error().code) == nameOf(code));
    CHECK(checked.error().field == field);
}

std::string readExample(const std::string &deployment, const std::string &name)
{
    std::ifstream file(std::string(FOXTAILDYKE_SOURCE_DIR) + "/examples/" + deployment + "/" + name + ".ini");
    REQUIRE(file.good());
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("the typed view holds values, references and defaults of the text")
{
    const auto built = buildRouterConfig(makeLayers(), 7, "east");
    REQUIRE(built.has_value());
    const auto &config = built.value();
    CHECK(config.generation == 7);
    const auto ada = config.accountByName("ada");
    CHECK(config[ada].burst == 20);
    CHECK(config.isGranted(ada, config.versionByName("large-1")));
    CHECK(config.isGranted(ada, config.versionByName("small-1")));
    CHECK_FALSE(config.isGranted(ada, config.versionByName("small-2")));
    CHECK(config[config.versionByName("small-2")].baseline == config.versionByName("small-1"));
    CHECK(config[config.kindByName("ask")].maxTimeout == std::chrono::milliseconds(1000));
    CHECK(config[config.kindByName("once")].maxTokens == 1024);
    CHECK(config.tune.exchangePeriod == std::chrono::milliseconds(500));
}

TEST_CASE("versions of a model are listed oldest first, by their baselines")
{
    const auto config = buildRouterConfig(makeLayers(), 1, "").value();
    const auto &versions = config[config.modelByName("small")].versions;
    REQUIRE(versions.size() == 3);
    CHECK(config[versions.back()].name == "small-2");
}

TEST_CASE("text that is not INI gives the line")
{
    const auto errorLineOf = [](std::string_view text) {
        const auto parsed = parseIni(text);
        REQUIRE(parsed.has_error());
        CHECK(parsed.error().code == error_code::invalid_syntax);
        return parsed.error().field;
    };
    CHECK(errorLineOf("[tuning]\nno equals sign\n") == "line 2");
    CHECK(errorLineOf("key = before any section\n") == "line 1");
    CHECK(errorLineOf("[tuning\nweight_cost = 1\n") == "line 1");
    // Without this check, a second value for a key would silently replace or extend the first.
    CHECK(errorLineOf("[tuning]\nweight_cost = 1\nweight_cost = 2\n") == "line 3");
    // inih ignores sections without keys and truncates long lines and names without an error.
    CHECK(errorLineOf("[account ada]\n[tuning]\nweight_cost = 1\n") == "line 1");
    CHECK(errorLineOf("[tuning]\nsession_key = " + std::string(300, 'x') + "\n") == "line 2");
    CHECK(errorLineOf("[account " + std::string(60, 'x') + "]\nburst = 1\n") == "line 1");
    CHECK(errorLineOf("[tuning]\nsession_key = a #comment\n") == "line 2");
    CHECK(errorLineOf("[tuning]\nsession_key = caf\xc3\xa9\n") == "line 2");
}

TEST_CASE("comments, blank lines and continued lines are read")
{
    const auto parsed = parseIni("; comment\n\n[account ada]\ngrants = a ; comment\n  b\n\tc\nburst = 1\n");
    REQUIRE(parsed.has_value());
    CHECK(parsed.value().at("account ada").at("grants") == "a b c");
    CHECK(parsed.value().at("account ada").at("burst") == "1");
}

TEST_CASE("the base is accepted")
{
    CHECK(checkLayers(makeLayers()).has_value());
}

TEST_CASE("unknown sections and keys are refused")
{
    checkError(checkWithKey("router main", "x", "1"), error_code::unknown_section, "router main");
    checkError(checkWithKey("tuning extra", "weight_cost", "1"), error_code::unknown_section, "tuning extra");
    checkError(checkWithKey("account", "burst", "1"), error_code::unknown_section, "account");
    checkError(checkWithKey("account a b", "burst", "1"), error_code::unknown_section, "account a b");
    checkError(checkWithKey("account ada", "bursts", "1"), error_code::unknown_key, "account ada/bursts");
}

TEST_CASE("a missing required key is refused")
{
    checkError(checkWithKey("account ada", "api_key", std::nullopt), error_code::missing_key, "account ada/api_key");
    checkError(checkWithKey("kind ask", "cascade", std::nullopt), error_code::missing_key, "kind ask/cascade");
    checkError(checkWithKey("tuning", "session_key", std::nullopt), error_code::missing_key, "tuning/session_key");
}

TEST_CASE("values out of range are refused for each type of field")
{
    const auto checkOutOfRange = [](const std::string &section, const std::string &key, const std::string &value) {
        CAPTURE(value);
        checkError(checkWithKey(section, key, value), error_code::value_out_of_range, section + "/" + key);
    };
    checkOutOfRange("account ada", "requests_per_second", "0");
    checkOutOfRange("account ada", "requests_per_second", "nan");
    checkOutOfRange("account ada", "requests_per_second", "1e300");
    checkOutOfRange("account ada", "requests_per_second", "ten");
    checkOutOfRange("account ada", "burst", "-1");
    checkOutOfRange("account ada", "burst", "4294967296");
    checkOutOfRange("account ada", "burst", "3 4");
    checkOutOfRange("account ada", "burst", "");
    checkOutOfRange("account ada", "api_key", "short");
    checkOutOfRange("version small-2", "share_permille", "1001");
    checkOutOfRange("version small-2", "state", "retired");
    checkOutOfRange("kind ask", "idempotent", "yes");
    checkOutOfRange("kind ask", "class", "urgent");
    checkOutOfRange("kind ask", "deadline_ms", "0");
    checkOutOfRange("kind ask", "cascade", "small small");
    checkOutOfRange("kind ask", "cascade", "");
    checkOutOfRange("host h1", "address", "localhost");
    checkOutOfRange("host h1", "peer_port", "65536");
    checkOutOfRange("tuning", "freshness_lease_ms", "900");
    // Two accounts with the same key could not be distinguished.
    checkOutOfRange("account ada", "api_key", "bo-key-22");
    // A request that must run at most once must not be escalated.
    checkOutOfRange("kind once", "cascade", "small large");
}

TEST_CASE("unknown references are refused")
{
    const auto checkUnknownReference = [](const std::string &section, const std::string &key,
                                          const std::string &value) {
        checkError(checkWithKey(section, key, value), error_code::unknown_reference, section + "/" + key);
    };
    checkUnknownReference("account ada", "grants", "small-1 none");
    checkUnknownReference("version small-1", "model", "none");
    checkUnknownReference("version small-2", "baseline", "none");
    checkUnknownReference("version small-2", "baseline", "large-1");
    checkUnknownReference("version small-2", "baseline", "small-2");
    checkUnknownReference("kind ask", "cascade", "small none");
}

TEST_CASE("an overlay may narrow the base")
{
    const auto layers = makeLayers("[account ada]\nrequests_per_second = 5\ngrants = large\n[version small-2]\n"
                                   "state = halted\n[kind ask]\ncascade = large\n[tuning]\nweight_cost = 9\n");
    const auto built = buildRouterConfig(layers, 1, "east");
    REQUIRE(built.has_value());
    CHECK(built.value().accounts[0].requestsPerSecond == doctest::Approx(5));
    CHECK(built.value()[built.value().versionByName("small-2")].state == version_state::halted);
    CHECK(buildRouterConfig(layers, 1, "west").value().accounts[0].requestsPerSecond == doctest::Approx(10));
}

TEST_CASE("an overlay that grants, reinstates or raises is refused")
{
    const auto checkContradiction = [](const std::string &overlay, const std::string &field) {
        CAPTURE(overlay);
        checkError(checkLayers(makeLayers(overlay)), error_code::overlay_contradicts_base, "east: " + field);
    };
    checkContradiction("[account bo]\ngrants = small-1 large-1\n", "account bo/grants");
    checkContradiction("[version small-0]\nstate = active\n", "version small-0/state");
    checkContradiction("[version small-2]\nstate = active\n", "version small-2/state");
    checkContradiction("[version small-2]\nshare_permille = 101\n", "version small-2/share_permille");
    checkContradiction("[account ada]\nrequests_per_second = 11\n", "account ada/requests_per_second");
    checkContradiction("[account ada]\nburst = 21\n", "account ada/burst");
    checkContradiction("[account ada]\napi_key = another-key\n", "account ada/api_key");
    checkContradiction("[kind ask]\ncascade = large small\n", "kind ask/cascade");
    checkContradiction("[kind once]\nidempotent = true\n", "kind once/idempotent");
    checkContradiction("[kind ask]\ndeadline_ms = 1001\n", "kind ask/deadline_ms");
    checkContradiction("[tuning]\nretry_budget_percent = 11\n", "tuning/retry_budget_percent");
    checkContradiction("[tuning]\nfreshness_lease_ms = 8000\n", "tuning/freshness_lease_ms");
    checkContradiction("[account eve]\napi_key = eve-key-1\nrequests_per_second = 1\n", "account eve");
    checkContradiction("[host h2]\nregion = r\n", "host h2");
    checkError(checkLayers(makeLayers("[account ada]\nbursts = 1\n")), error_code::unknown_key,
               "east: account ada/bursts");
}

TEST_CASE("a withdrawn version is never reinstated by edits")
{
    const auto checkReinstatementRefused = [](const config_edit &edit) {
        const auto applied = applyEdits(makeLayers("[version small-1]\nstate = withdrawn\n"), {edit});
        REQUIRE(applied.has_error());
        CHECK(applied.error().code == error_code::version_reinstated);
    };
    checkReinstatementRefused({"", "version small-0", "state", "active"});
    checkReinstatementRefused({"", "version small-0", "state", "halted"});
    checkReinstatementRefused({"", "version small-0", "state", std::nullopt});
    checkReinstatementRefused({"", "version small-0", "", std::nullopt});
    checkReinstatementRefused({"east", "version small-1", "state", std::nullopt});
    checkReinstatementRefused({"east", "version small-1", "", std::nullopt});
}

TEST_CASE("an overlay never blocks a withdrawal or a halt")
{
    const auto layers = makeLayers("[version small-2]\nstate = rolling_out\nshare_permille = 10\n");
    for (const auto state : {version_state::withdrawn, version_state::halted}) {
        const auto applied = applyEdits(layers, {{"", "version small-2", "state", std::string(nameOf(state))}});
        REQUIRE(applied.has_value());
        CHECK(checkLayers(applied.value()).has_value());
        const auto config = buildRouterConfig(applied.value(), 1, "east").value();
        CHECK(config[config.versionByName("small-2")].state == state);
    }
}

TEST_CASE("edits that can't be written as text are refused")
{
    for (const std::string value : {"a\nb", " a", "a  b", "; a", "#a", "\x01"}) {
        const auto applied = applyEdits(makeLayers(), {{"", "tuning", "session_key", value}});
        REQUIRE(applied.has_error());
        CHECK(applied.error().code == error_code::invalid_syntax);
        CHECK(applied.error().field == "tuning/session_key");
    }
}

namespace
{

std::string arbitraryWord()
{
    const auto letter = rc::gen::element('a', 'b', 'z', '0', '-', '=', ':', '[', ']', '"', '\\');
    return *rc::gen::nonEmpty(rc::gen::container<std::string>(letter));
}

/// Generates documents with values of zero to forty words, so that long values are wrapped.
ini_document arbitraryDocument()
{
    ini_document document;
    const auto sections = *rc::gen::inRange(0, 5);
    for (int s = 0; s < sections; ++s) {
        auto &keys = document["account a" + std::to_string(*rc::gen::inRange(0, 9))];
        const auto count = *rc::gen::inRange(1, 5);
        for (int k = 0; k < count; ++k) {
            std::string value;
            const auto words = *rc::gen::inRange(0, 40);
            for (int w = 0; w < words; ++w)
                value += (value.empty() ? "" : " ") + arbitraryWord().substr(0, 100);
            keys["key" + std::to_string(*rc::gen::inRange(0, 9))] = value;
        }
    }
    return document;
}

config_layers arbitraryLayers()
{
    config_layers layers;
    layers.base = arbitraryDocument();
    for (const std::string name : {"east", "west"}) {
        auto overlay = arbitraryDocument();
        if (!overlay.empty())
            layers.overlays[name] = std::move(overlay);
    }
    return layers;
}

} // namespace

TEST_CASE("property: parsing a formatted document gives the same document")
{
    CHECK(propertyHolds([] {
        const auto document = arbitraryDocument();
        const auto parsed = parseIni(formatIni(document));
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(parsed.value() == document);
    }));
}

TEST_CASE("property: applying a difference gives the other layers")
{
    CHECK(propertyHolds([] {
        const auto from = arbitraryLayers();
        const auto to = arbitraryLayers();
        const auto applied = applyEdits(from, diffLayers(from, to));
        RC_ASSERT(applied.has_value());
        RC_ASSERT(applied.value().base == to.base);
        RC_ASSERT(applied.value().overlays == to.overlays);
        RC_ASSERT(diffLayers(to, to).empty());
    }));
}

TEST_CASE("property: JSON of a configuration keeps every field")
{
    CHECK(propertyHolds([] {
        config_document document;
        document.generation = *rc::gen::arbitrary<std::uint32_t>();
        document.layers = arbitraryLayers();
        document.history.push_back({5, "id", "author", 1700000000123, diffLayers({}, document.layers)});
        const auto decoded = decodeConfig(encodeConfig(document));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded.value().generation == document.generation);
        RC_ASSERT(decoded.value().layers.base == document.layers.base);
        RC_ASSERT(decoded.value().layers.overlays == document.layers.overlays);
        RC_ASSERT(decoded.value().history.at(0).unixMs == 1700000000123);
        RC_ASSERT(encodeEdits(decoded.value().history.at(0).edits) == encodeEdits(document.history.at(0).edits));
    }));
}

TEST_CASE("damaged JSON gives protocol_violation")
{
    for (const std::string_view text : {"", "[]", "{}", R"({"generation":1,"base":5,"overlays":{},"history":[]})",
                                        R"({"generation":1,"base":"[x","overlays":{},"history":[]})",
                                        R"({"generation":1,"base":"","overlays":[],"history":[]})"}) {
        const auto decoded = decodeConfig(text);
        REQUIRE(decoded.has_error());
        CHECK(decoded.error().code == error_code::protocol_violation);
    }
    CHECK(decodeEdits(R"([{"layer":""}])").has_error());
    CHECK(decodeEdits("{}").has_error());
}

TEST_CASE("the example deployments are valid")
{
    const std::map<std::string, std::vector<std::string>> deployments{
        {"lin-shou", {"zhongshan-hall", "datong-hall", "wanhua-hall"}},
        {"solleciti-padani", {"sala-cremona", "sala-mantova", "sala-piacenza", "sala-lodi"}}};
    for (const auto &[deployment, failureDomains] : deployments) {
        config_layers layers;
        layers.base = parseIni(readExample(deployment, "base")).value();
        for (const auto &name : failureDomains)
            layers.overlays[name] = parseIni(readExample(deployment, name)).value();
        const auto checked = checkLayers(layers);
        CHECK_MESSAGE(checked.has_value(), (checked.has_error() ? checked.error().field : ""));
        const auto config = buildRouterConfig(layers, 1, failureDomains.front()).value();
        CHECK(config.hosts.size() == 9);
        CHECK(config.accounts.size() == 10);
        CHECK(config.kinds.size() == 5);
    }
}

TEST_CASE("docs/SETTINGS.md is the text that the key table gives")
{
    std::ifstream file(std::string(FOXTAILDYKE_SOURCE_DIR) + "/docs/SETTINGS.md");
    std::stringstream text;
    text << file.rdbuf();
    CHECK(text.str() == settingsReference());
}
