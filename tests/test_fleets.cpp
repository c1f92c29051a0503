// Small configurations of the two deployments, for tests of the decision core.
#include "core_simulation_p.h"

namespace foxtaildyke::test
{

namespace
{

model_handle addModel(router_config &config, std::string name, std::string service, std::uint32_t price)
{
    const model_handle handle{static_cast<std::uint16_t>(config.models.size())};
    config.models.push_back({.name = std::move(name),
                             .service = std::move(service),
                             .promptMicroUnitsPer1k = price,
                             .completionMicroUnitsPer1k = 3 * price});
    return handle;
}

void addVersion(router_config &config, model_handle model, std::string name)
{
    const version_handle handle{static_cast<std::uint16_t>(config.versions.size())};
    const auto &versions = config.models[model.index].versions;
    config.versions.push_back(
        {.name = std::move(name), .model = model, .baseline = versions.empty() ? version_handle{} : versions.back()});
    config.models[model.index].versions.push_back(handle);
}

void addKind(router_config &config, std::string name, request_class priority, bool idempotent,
             const std::vector<model_handle> &cascade, milliseconds timeout)
{
    config.kinds.push_back({.name = std::move(name),
                            .priority = priority,
                            .idempotent = idempotent,
                            .cascade = cascade,
                            .rated = cascade.size() > 1,
                            .maxTimeout = timeout});
}

void addAccount(router_config &config, const std::string &name)
{
    account_config account{
        .name = name, .apiKey = "key-" + name, .requestsPerSecond = 100, .burst = 50, .concurrency = 50};
    for (std::size_t i = 0; i < config.versions.size(); ++i)
        account.grants.push_back({static_cast<std::uint16_t>(i)});
    config.accounts.push_back(std::move(account));
}

upstream_info replica(std::string name, std::string service, std::vector<std::string> versions, std::string domain)
{
    return {.name = std::move(name),
            .address = "127.0.0.1",
            .port = 9000,
            .failureDomain = std::move(domain),
            .service = std::move(service),
            .versions = std::move(versions),
            .slots = 4};
}

} // namespace

router_config linShou()
{
    router_config config;
    const auto brush = addModel(config, "brush", "drafting-models", 100);
    const auto scroll = addModel(config, "scroll", "drafting-models", 1000);
    const auto desk = addModel(config, "clerk-desk", "clerk-desk", 10);
    addVersion(config, brush, "brush-1");
    addVersion(config, scroll, "scroll-1");
    addVersion(config, desk, "clerk-desk-1");
    using enum request_class;
    addKind(config, "appeal-draft", batch, true, {brush, scroll}, milliseconds{60000});
    addKind(config, "release-summary", batch, true, {brush, scroll}, milliseconds{60000});
    addKind(config, "page-tag", standard, true, {brush, scroll}, milliseconds{5000});
    addKind(config, "docket-status", interactive, false, {desk}, milliseconds{2000});
    addKind(config, "receipt-check", interactive, false, {desk}, milliseconds{2000});
    addAccount(config, "wanhua-legal");
    config.tune.sessionKey = "test key";
    return config;
}

std::vector<upstream_info> linShouUpstreams()
{
    return {replica("draft-1", "drafting-models", {"brush-1", "scroll-1"}, "datong-hall"),
            replica("draft-2", "drafting-models", {"brush-1", "scroll-1"}, "wanhua-hall"),
            replica("desk-1", "clerk-desk", {"clerk-desk-1"}, "datong-hall"),
            replica("desk-2", "clerk-desk", {"clerk-desk-1"}, "zhongshan-hall")};
}

router_config sollecitiPadani()
{
    router_config config;
    const auto volpe = addModel(config, "volpe", "foxtail-modelli", 100);
    const auto lince = addModel(config, "lince", "foxtail-modelli", 1000);
    const auto counter = addModel(config, "sportello", "sportello-crediti", 10);
    addVersion(config, volpe, "volpe-1");
    addVersion(config, lince, "lince-1");
    addVersion(config, counter, "sportello-1");
    using enum request_class;
    addKind(config, "dossier-summary", batch, true, {volpe, lince}, milliseconds{60000});
    addKind(config, "reminder-draft", batch, false, {volpe, lince}, milliseconds{60000});
    addKind(config, "tone-check", standard, true, {volpe, lince}, milliseconds{5000});
    addKind(config, "ledger-lookup", interactive, true, {counter}, milliseconds{1500});
    addKind(config, "payment-promise", interactive, false, {counter}, milliseconds{2000});
    addAccount(config, "cremona-recupero");
    config.tune.sessionKey = "test key";
    return config;
}

std::vector<upstream_info> sollecitiPadaniUpstreams()
{
    return {replica("modelli-1", "foxtail-modelli", {"volpe-1", "lince-1"}, "sala-cremona"),
            replica("modelli-2", "foxtail-modelli", {"volpe-1", "lince-1"}, "sala-lodi"),
            replica("sportello-1", "sportello-crediti", {"sportello-1"}, "sala-cremona"),
            replica("sportello-2", "sportello-crediti", {"sportello-1"}, "sala-mantova")};
}

} // namespace foxtaildyke::test
