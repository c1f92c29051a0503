// Settings: converts INI text to the typed configuration. Merges the overlay of a failure domain with the base, and
// rejects unknown, out-of-range and contradictory settings with a typed error that names the field.
#pragma once

#include "router_config_p.h"

#include <map>

namespace foxtaildyke
{

/// Parsed INI text, the canonical form of a configuration: maps a section name ("account lin-shou") to its keys and
/// values. Sorted, so that equal documents have equal text.
using ini_document = std::map<std::string, std::map<std::string, std::string>>;

/// One edit of the configuration: sets or removes a key, or removes a section, in one layer.
struct config_edit {
    std::string layer; ///< "" for the base, otherwise the failure domain of an overlay
    std::string section;
    std::string key; ///< "" for the whole section, which can only be removed
    std::optional<std::string> value; ///< std::nullopt removes the key or section
};

/// The configuration as declared by operators: the base and at most one overlay for each failure domain.
struct config_layers {
    ini_document base;
    std::map<std::string, ini_document> overlays; ///< keyed by failure domain
};

/// One accepted or pending change, as stored in the history of `config/current`.
struct config_change {
    generation_number generation = 0; ///< the generation that the change created
    /// Set by the operator's tool, to distinguish a lost response (the change was made) from a conflict.
    std::string changeId;
    std::string author;
    std::int64_t unixMs = 0;
    std::vector<config_edit> edits;
};

/// The object `config/current`.
struct config_document {
    generation_number generation = 0;
    config_layers layers;
    std::vector<config_change> history; ///< newest last; at most kHistoryLength entries
    static constexpr std::size_t kHistoryLength = 64;
};

/// Reads INI text.
/// @returns the document, or error_code::invalid_syntax with the line number as field.
[[nodiscard]] result<ini_document> parseIni(std::string_view text);

/// Formats a document as INI text; parseIni() of the text gives the same document.
[[nodiscard]] std::string formatIni(const ini_document &document);

/// Checks the base and the overlay of one failure domain, and builds the configuration that results from both.
/// @param failureDomain name of the overlay to apply; the base alone is used where it does not exist.
/// @returns the configuration, or the first error with the field as "section/key".
[[nodiscard]] result<router_config> buildRouterConfig(const config_layers &layers, generation_number generation,
                                                      std::string_view failureDomain);

/// Checks the base and every overlay.
[[nodiscard]] result<void> checkLayers(const config_layers &layers);

/// Applies edits in order. Withdrawn versions stay withdrawn: an edit that would reinstate one or remove its section
/// gives error_code::version_reinstated.
[[nodiscard]] result<config_layers> applyEdits(const config_layers &layers, const std::vector<config_edit> &edits);

/// @returns the edits that turn one set of layers into another.
[[nodiscard]] std::vector<config_edit> diffLayers(const config_layers &from, const config_layers &to);

/// @returns the reference of all sections and keys in Markdown: the text of --help-settings and of docs/SETTINGS.md.
[[nodiscard]] std::string settingsReference();

/// JSON encoding of the object `config/current` and of edits. Decoding gives error_code::protocol_violation where the
/// text is malformed.
[[nodiscard]] std::string encodeConfig(const config_document &document);
[[nodiscard]] result<config_document> decodeConfig(std::string_view json);
[[nodiscard]] std::string encodeEdits(const std::vector<config_edit> &edits);
[[nodiscard]] result<std::vector<config_edit>> decodeEdits(std::string_view json);

} // namespace foxtaildyke
