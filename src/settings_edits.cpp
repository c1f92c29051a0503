// Edits of the configuration: applies edits, compares layers, and enforces that a withdrawal is final; see
// settings_p.h.
#include "settings_table_p.h"

#include <set>

namespace foxtaildyke
{

namespace
{

using BOOST_OUTCOME_V2_NAMESPACE::success;

constexpr std::string_view kStateKey = "state";

bool isVersionSection(std::string_view section)
{
    return splitSection(section).type == section_table<version_config>::kSection;
}

/// @returns the state that a layer declares for a version, or an empty string.
std::string declaredState(const ini_document &layer, const std::string &section)
{
    const auto keys = layer.find(section);
    if (keys == layer.end() || !isVersionSection(section))
        return {};
    const auto state = keys->second.find(std::string(kStateKey));
    return state == keys->second.end() ? std::string() : state->second;
}

bool isWithdrawn(const ini_document &layer, const std::string &section)
{
    return declaredState(layer, section) == nameOf(version_state::withdrawn);
}

std::string fieldName(const config_edit &edit)
{
    const auto field = edit.key.empty() ? edit.section : edit.section + '/' + edit.key;
    return edit.layer.empty() ? field : edit.layer + ": " + field;
}

/// @returns whether the version accepts no new sessions according to this layer.
bool isHaltedOrWithdrawn(const ini_document &layer, const std::string &section)
{
    return isWithdrawn(layer, section) || declaredState(layer, section) == nameOf(version_state::halted);
}

/// Removes overlay states that are less strict than the base state, once the base halts or withdraws the version. Such
/// a state has no effect any more, but would contradict the base and so block the halt or withdrawal.
void removeOverlayStates(config_layers &layers, const std::string &section)
{
    const bool withdrawn = isWithdrawn(layers.base, section);
    for (auto entry = layers.overlays.begin(); entry != layers.overlays.end();) {
        auto &overlay = entry->second;
        const auto keys = overlay.find(section);
        const bool isKept = withdrawn ? isWithdrawn(overlay, section) : isHaltedOrWithdrawn(overlay, section);
        if (keys != overlay.end() && !isKept) {
            keys->second.erase(std::string(kStateKey));
            if (keys->second.empty())
                overlay.erase(keys);
        }
        entry = overlay.empty() ? layers.overlays.erase(entry) : std::next(entry);
    }
}

result<void> checkEdit(const config_edit &edit)
{
    const bool isWellFormed = edit.key.empty() ? !edit.value : !edit.value || isCanonicalValue(*edit.value);
    const bool isValidLayer = edit.layer.empty() || isEntryName(edit.layer);
    if (!isWellFormed || !isValidLayer || edit.section.empty())
        return error{error_code::invalid_syntax, fieldName(edit)};
    return success();
}

void editDocument(ini_document &document, const config_edit &edit)
{
    if (edit.value) {
        document[edit.section][edit.key] = *edit.value;
        return;
    }
    const auto keys = document.find(edit.section);
    if (keys == document.end())
        return;
    if (!edit.key.empty())
        keys->second.erase(edit.key);
    if (edit.key.empty() || keys->second.empty())
        document.erase(keys);
}

result<void> applyEdit(config_layers &layers, const config_edit &edit)
{
    BOOST_OUTCOME_TRYV(checkEdit(edit));
    auto &document = edit.layer.empty() ? layers.base : layers.overlays[edit.layer];
    const bool wasWithdrawn = isWithdrawn(document, edit.section);
    editDocument(document, edit);
    const bool withdrawn = isWithdrawn(document, edit.section);
    if (wasWithdrawn && !withdrawn)
        return error{error_code::version_reinstated, fieldName(edit)};
    if (document.empty() && !edit.layer.empty())
        layers.overlays.erase(edit.layer);
    if (edit.layer.empty() && isHaltedOrWithdrawn(layers.base, edit.section))
        removeOverlayStates(layers, edit.section);
    return success();
}

/// Appends the edits that turn one document into another. A section missing from the second is removed with one edit.
void diffDocument(const std::string &layer, const ini_document &from, const ini_document &to,
                  std::vector<config_edit> &edits)
{
    static const std::map<std::string, std::string> s_noKeys;
    for (const auto &[section, keys] : from) {
        if (!to.contains(section))
            edits.push_back({layer, section, "", std::nullopt});
    }
    for (const auto &[section, keys] : to) {
        const auto old = from.find(section);
        const auto &oldKeys = old == from.end() ? s_noKeys : old->second;
        for (const auto &[key, value] : keys) {
            const auto oldEntry = oldKeys.find(key);
            if (oldEntry == oldKeys.end() || oldEntry->second != value)
                edits.push_back({layer, section, key, value});
        }
        for (const auto &[key, value] : oldKeys) {
            if (!keys.contains(key))
                edits.push_back({layer, section, key, std::nullopt});
        }
    }
}

const ini_document &overlayOf(const config_layers &layers, const std::string &failureDomain)
{
    static const ini_document s_emptyOverlay;
    const auto found = layers.overlays.find(failureDomain);
    return found == layers.overlays.end() ? s_emptyOverlay : found->second;
}

} // namespace

result<config_layers> applyEdits(const config_layers &layers, const std::vector<config_edit> &edits)
{
    auto changed = layers;
    for (const auto &edit : edits) {
        BOOST_OUTCOME_TRYV(applyEdit(changed, edit));
    }
    return changed;
}

std::vector<config_edit> diffLayers(const config_layers &from, const config_layers &to)
{
    std::vector<config_edit> edits;
    diffDocument("", from.base, to.base, edits);
    std::set<std::string> failureDomains;
    for (const auto *layers : {&from, &to}) {
        for (const auto &[failureDomain, overlay] : layers->overlays)
            failureDomains.insert(failureDomain);
    }
    for (const auto &failureDomain : failureDomains)
        diffDocument(failureDomain, overlayOf(from, failureDomain), overlayOf(to, failureDomain), edits);
    return edits;
}

} // namespace foxtaildyke
