// Builds and checks the typed configuration: base settings, overlay of a failure domain and references between entries;
// see settings_p.h.
#include "settings_table_p.h"

namespace foxtaildyke
{

namespace
{

using BOOST_OUTCOME_V2_NAMESPACE::success;

template <typename entry>
std::string sectionOf(const entry &item)
{
    return std::string(section_table<entry>::kSection) + ' ' + item.name;
}

std::string sectionOf(const tuning &)
{
    return std::string(section_table<tuning>::kSection);
}

template <typename entry>
void createEntries(const ini_document &document, std::vector<entry> &entries)
{
    for (const auto &[section, keys] : document) {
        const auto [type, name] = splitSection(section);
        if (type == section_table<entry>::kSection)
            entries.emplace_back().name = name;
    }
}

template <typename entry>
result<void> fillEntry(const ini_document &document, entry &item, const router_config &owner)
{
    const auto section = sectionOf(item);
    const auto found = document.find(section);
    for (const auto &row : section_table<entry>::kRows) {
        const auto field = section + '/' + std::string(row.key);
        const auto missing = found == document.end() || !found->second.contains(std::string(row.key));
        if (missing && row.required)
            return error{error_code::missing_key, field};
        if (missing)
            continue;
        const auto assigned = assignKey(row, item, found->second.at(std::string(row.key)), owner);
        if (assigned.has_error())
            return error{assigned.error().code, field};
    }
    return success();
}

template <typename entry>
result<void> fillEntries(const ini_document &document, std::vector<entry> &entries, const router_config &owner)
{
    for (auto &item : entries) {
        if (auto filled = fillEntry(document, item, owner); filled.has_error())
            return filled;
    }
    return success();
}

/// Length of the chain of baselines before a version; greater than the number of versions where the chain is a cycle.
std::size_t baselineDepth(const router_config &built, const version_config &version)
{
    std::size_t depth = 0;
    for (auto next = version.baseline; next.isValid() && depth <= built.versions.size(); ++depth)
        next = built[next].baseline;
    return depth;
}

/// Lists the versions of each model, oldest first. The sorted document does not keep the order of the text, so the age
/// is derived from the baselines.
result<void> linkVersions(router_config &built)
{
    for (const auto &version : built.versions) {
        const auto isOtherModel = version.baseline.isValid() && built[version.baseline].model != version.model;
        if (isOtherModel || baselineDepth(built, version) > built.versions.size())
            return error{error_code::unknown_reference, sectionOf(version) + "/baseline"};
        // A grant names versions or models; one name for both would be ambiguous.
        if (built.modelByName(version.name).isValid())
            return error{error_code::value_out_of_range, sectionOf(version)};
        built.models[version.model.index].versions.push_back(built.versionByName(version.name));
    }
    for (auto &model : built.models)
        std::ranges::stable_sort(model.versions, {}, [&](version_handle v) { return baselineDepth(built, built[v]); });
    return success();
}

result<void> checkRelations(const router_config &built)
{
    for (const auto &kind : built.kinds) {
        // Escalation runs a request on another model, so a request that must not run twice can't be escalated.
        if (!kind.idempotent && kind.cascade.size() != 1)
            return error{error_code::value_out_of_range, sectionOf(kind) + "/cascade"};
    }
    for (const auto &account : built.accounts) {
        if (std::ranges::count(built.accounts, account.apiKey, &account_config::apiKey) > 1)
            return error{error_code::value_out_of_range, sectionOf(account) + "/api_key"};
    }
    // A relay child that lost its parent needs up to two exchange periods to find another one.
    if (built.tune.freshnessLease < 2 * built.tune.exchangePeriod)
        return error{error_code::value_out_of_range, "tuning/freshness_lease_ms"};
    return success();
}

result<router_config> buildDocument(const ini_document &document, generation_number generation)
{
    router_config built;
    built.generation = generation;
    createEntries(document, built.accounts);
    createEntries(document, built.models);
    createEntries(document, built.versions);
    createEntries(document, built.kinds);
    createEntries(document, built.hosts);
    BOOST_OUTCOME_TRYV(fillEntries(document, built.models, built));
    BOOST_OUTCOME_TRYV(fillEntries(document, built.versions, built));
    BOOST_OUTCOME_TRYV(linkVersions(built));
    BOOST_OUTCOME_TRYV(fillEntries(document, built.accounts, built));
    BOOST_OUTCOME_TRYV(fillEntries(document, built.kinds, built));
    BOOST_OUTCOME_TRYV(fillEntries(document, built.hosts, built));
    BOOST_OUTCOME_TRYV(fillEntry(document, built.tune, built));
    BOOST_OUTCOME_TRYV(checkRelations(built));
    const auto sortKey = [](const host_config &host) {
        return std::tie(host.region, host.failureDomain, host.name);
    };
    std::ranges::sort(built.hosts, {}, sortKey);
    return built;
}

template <typename entry>
result<void> compareEntry(const entry &base, const entry &overlaid)
{
    for (const auto &row : section_table<entry>::kRows) {
        if (!isNarrowing(row, base, overlaid))
            return error{error_code::overlay_contradicts_base, sectionOf(base) + '/' + std::string(row.key)};
    }
    return success();
}

template <typename entry>
result<void> compareEntries(const std::vector<entry> &base, const std::vector<entry> &overlaid)
{
    for (std::size_t i = 0; i < base.size(); ++i) {
        BOOST_OUTCOME_TRYV(compareEntry(base[i], overlaid[i]));
    }
    return success();
}

/// Checks that an overlaid configuration permits nothing that the base does not.
result<void> compareConfigs(const router_config &base, const router_config &overlaid)
{
    BOOST_OUTCOME_TRYV(compareEntries(base.accounts, overlaid.accounts));
    BOOST_OUTCOME_TRYV(compareEntries(base.models, overlaid.models));
    BOOST_OUTCOME_TRYV(compareEntries(base.versions, overlaid.versions));
    BOOST_OUTCOME_TRYV(compareEntries(base.kinds, overlaid.kinds));
    BOOST_OUTCOME_TRYV(compareEntries(base.hosts, overlaid.hosts));
    return compareEntry(base.tune, overlaid.tune);
}

result<router_config> applyOverlay(const ini_document &baseDocument, const router_config &base,
                                   const ini_document &overlay)
{
    BOOST_OUTCOME_TRYV(checkNames(overlay));
    auto merged = baseDocument;
    for (const auto &[section, keys] : overlay) {
        const auto found = merged.find(section);
        const auto isTuning = section == section_table<tuning>::kSection;
        if (found == merged.end() && !isTuning)
            return error{error_code::overlay_contradicts_base, section};
        for (const auto &[key, value] : keys)
            merged[section][key] = value;
    }
    BOOST_OUTCOME_TRY(overlaid, buildDocument(merged, base.generation));
    BOOST_OUTCOME_TRYV(compareConfigs(base, overlaid));
    return std::move(overlaid);
}

error withOverlayName(const std::string &failureDomain, const error &failure)
{
    return {failure.code, failureDomain + ": " + failure.field};
}

} // namespace

result<router_config> buildRouterConfig(const config_layers &layers, generation_number generation,
                                        std::string_view failureDomain)
{
    BOOST_OUTCOME_TRYV(checkNames(layers.base));
    BOOST_OUTCOME_TRY(base, buildDocument(layers.base, generation));
    const auto overlay = layers.overlays.find(std::string(failureDomain));
    if (overlay == layers.overlays.end())
        return std::move(base);
    auto overlaid = applyOverlay(layers.base, base, overlay->second);
    if (overlaid.has_error())
        return withOverlayName(overlay->first, overlaid.error());
    return overlaid;
}

result<void> checkLayers(const config_layers &layers)
{
    BOOST_OUTCOME_TRYV(buildRouterConfig(layers, 0, ""));
    for (const auto &[failureDomain, overlay] : layers.overlays) {
        if (!isEntryName(failureDomain))
            return error{error_code::unknown_section, failureDomain};
        BOOST_OUTCOME_TRYV(buildRouterConfig(layers, 0, failureDomain));
    }
    return success();
}

} // namespace foxtaildyke
