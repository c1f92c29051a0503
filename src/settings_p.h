// Settings: INI text to typed configuration. Knows every section and key, merges the overlay of a failure domain over
// the base, and rejects what is unknown, out of range or contradictory with a typed error that names the field.
#pragma once

#include "fleet_p.h"

#include <map>

namespace foxtaildyke
{

/// INI text as sections of keys; the canonical form of a configuration.
/// Shape: section name ("account lin-shou") to key to value. Sorted, so that equal documents have equal text.
using ini_document = std::map<std::string, std::map<std::string, std::string>>;

/// One change of the configuration: keys set or removed in one layer.
struct config_edit {
    std::string layer; ///< "" for the base, otherwise the failure domain of an overlay
    std::string section;
    std::string key; ///< "" removes or names the whole section
    std::optional<std::string> value; ///< nothing removes the key
};

/// Everything operators declare: the base and one overlay for each failure domain.
struct config_layers {
    ini_document base;
    std::map<std::string, ini_document> overlays; ///< by failure domain
};

/// One accepted or pending change, as kept in the history of `config/current`.
struct config_change {
    generation_number generation = 0; ///< the generation that it made
    std::string changeId; ///< chosen by the operator's tool; tells a lost answer from a lost race
    std::string author;
    std::int64_t unixMs = 0;
    std::vector<config_edit> edits;
};

/// The object `config/current`.
struct config_document {
    generation_number generation = 0;
    config_layers layers;
    std::vector<config_change> history; ///< newest last, at most kHistoryLength
    static constexpr std::size_t kHistoryLength = 64;
};

/// Reads INI text.
/// @returns the document, or error_code::invalid_syntax with the line number as field.
[[nodiscard]] result<ini_document> parseIni(std::string_view text);

/// Writes a document as INI text; parseIni() of the text gives the same document.
[[nodiscard]] std::string formatIni(const ini_document &document);

/// Checks the layers and builds the view of one failure domain.
/// @param failureDomain name of the overlay to apply; where there is none the base alone is used.
/// @returns the fleet, or the first error with the field as "section/key".
[[nodiscard]] result<fleet> buildFleet(const config_layers &layers, generation_number generation,
                                       std::string_view failureDomain);

/// Checks the base and every overlay.
[[nodiscard]] result<void> checkLayers(const config_layers &layers);

/// Applies edits in order. Withdrawn versions stay withdrawn: an edit that would reinstate one is an error
/// (version_reinstated), and one that removes its section is as well.
[[nodiscard]] result<config_layers> applyEdits(const config_layers &layers, const std::vector<config_edit> &edits);

/// Edits that turn one set of layers into another.
[[nodiscard]] std::vector<config_edit> diffLayers(const config_layers &from, const config_layers &to);

/// @returns the reference of all sections and keys in Markdown: the text of --help-settings and of docs/SETTINGS.md.
[[nodiscard]] std::string settingsReference();

/// JSON form of the object `config/current` and of edits.
[[nodiscard]] std::string encodeConfig(const config_document &document);
[[nodiscard]] result<config_document> decodeConfig(std::string_view json);
[[nodiscard]] std::string encodeEdits(const std::vector<config_edit> &edits);
[[nodiscard]] result<std::vector<config_edit>> decodeEdits(std::string_view json);

} // namespace foxtaildyke
