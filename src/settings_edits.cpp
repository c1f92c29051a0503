// Edits of the configuration: applying them, comparing layers, and the rule that withdrawn is final; see settings_p.h.
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

/// @returns the state that a layer declares for a version, or empty.
std::string stateIn(const ini_document &layer, const std::string &section)
{
    const auto keys = layer.find(section);
    if (keys == layer.end() || !isVersionSection(section))
        return {};
    const auto state = keys->second.find(std::string(kStateKey));
    return state == keys->second.end() ? std::string() : state->second;
}

bool isWithdrawn(const ini_document &layer, const std::string &section)
{
    return stateIn(layer, section) == nameOf(version_state::withdrawn);
}

std::string fieldName(const config_edit &edit)
{
    const auto field = edit.key.empty() ? edit.section : edit.section + '/' + edit.key;
    return edit.layer.empty() ? field : edit.layer + ": " + field;
}

/// @returns whether the version takes no new sessions in this layer.
bool isStopped(const ini_document &layer, const std::string &section)
{
    return isWithdrawn(layer, section) || stateIn(layer, section) == nameOf(version_state::halted);
}

/// An overlay state that is above the base's would contradict a base that halts or withdraws the version, and would
/// block that change; it has no meaning any more and is dropped.
void dropOverlayStates(config_layers &layers, const std::string &section)
{
    const bool withdrawn = isWithdrawn(layers.base, section);
    for (auto entry = layers.overlays.begin(); entry != layers.overlays.end();) {
        auto &overlay = entry->second;
        const auto keys = overlay.find(section);
        const bool isKept = withdrawn ? isWithdrawn(overlay, section) : isStopped(overlay, section);
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
    const bool isForm = edit.key.empty() ? !edit.value : !edit.value || isCanonicalValue(*edit.value);
    const bool isLayer = edit.layer.empty() || isEntryName(edit.layer);
    if (!isForm || !isLayer || edit.section.empty())
        return error{error_code::invalid_syntax, fieldName(edit)};
    return success();
}

void changeDocument(ini_document &document, const config_edit &edit)
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
    changeDocument(document, edit);
    const bool withdrawn = isWithdrawn(document, edit.section);
    if (wasWithdrawn && !withdrawn)
        return error{error_code::version_reinstated, fieldName(edit)};
    if (document.empty() && !edit.layer.empty())
        layers.overlays.erase(edit.layer);
    if (edit.layer.empty() && isStopped(layers.base, edit.section))
        dropOverlayStates(layers, edit.section);
    return success();
}

/// Adds the edits that turn one document into another. Sections that vanish are removed as a whole.
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
            const auto same = oldKeys.find(key);
            if (same == oldKeys.end() || same->second != value)
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
    static const ini_document s_none;
    const auto found = layers.overlays.find(failureDomain);
    return found == layers.overlays.end() ? s_none : found->second;
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
