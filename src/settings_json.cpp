// JSON encoding of the object config/current and of edits; see settings_p.h.
#include "settings_p.h"

#include <nlohmann/json.hpp>

namespace foxtaildyke
{

namespace
{

using nlohmann::json;

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json toJson(const config_edit &edit)
{
    json object{{"layer", edit.layer}, {"section", edit.section}, {"key", edit.key}};
    if (edit.value)
        object["value"] = *edit.value;
    return object;
}

json toJson(const std::vector<config_edit> &edits)
{
    auto list = json::array();
    for (const auto &edit : edits)
        list.push_back(toJson(edit));
    return list;
}

json toJson(const config_change &change)
{
    return {{"generation", change.generation},
            {"change_id", change.changeId},
            {"author", change.author},
            {"unix_ms", change.unixMs},
            {"edits", toJson(change.edits)}};
}

config_edit readEdit(const json &object)
{
    config_edit edit{object.at("layer"), object.at("section"), object.at("key"), std::nullopt};
    if (object.contains("value"))
        edit.value = object.at("value").get<std::string>();
    return edit;
}

std::vector<config_edit> readEdits(const json &list)
{
    std::vector<config_edit> edits;
    for (const auto &object : list.get_ref<const json::array_t &>())
        edits.push_back(readEdit(object));
    return edits;
}

config_change readChange(const json &object)
{
    return {object.at("generation"), object.at("change_id"), object.at("author"), object.at("unix_ms"),
            readEdits(object.at("edits"))};
}

ini_document readLayer(const json &text)
{
    auto document = parseIni(text.get_ref<const std::string &>());
    // Thrown as a JSON error, so that decode() reports an invalid layer like a wrong type: as an error of the whole
    // object.
    if (document.has_error())
        throw json::other_error::create(501, document.error().field, &text);
    return std::move(document.value());
}

config_document readDocument(const json &object)
{
    config_document document;
    document.generation = object.at("generation");
    document.layers.base = readLayer(object.at("base"));
    for (const auto &[failureDomain, text] : object.at("overlays").get_ref<const json::object_t &>())
        document.layers.overlays[failureDomain] = readLayer(text);
    for (const auto &change : object.at("history").get_ref<const json::array_t &>())
        document.history.push_back(readChange(change));
    return document;
}

/// Parses the text and converts it with the reader; malformed content gives protocol_violation with @p name as field.
template <typename value_type>
result<value_type> decode(std::string_view text, std::string_view name, value_type (*reader)(const json &))
{
    try {
        return reader(json::parse(text));
    } catch (const json::exception &) {
        return error{error_code::protocol_violation, std::string(name)};
    }
}

} // namespace

std::string encodeConfig(const config_document &document)
{
    auto overlays = json::object();
    for (const auto &[failureDomain, overlay] : document.layers.overlays)
        overlays[failureDomain] = formatIni(overlay);
    auto history = json::array();
    for (const auto &change : document.history)
        history.push_back(toJson(change));
    // The object has no author, time or change id of its own: those of its newest change apply.
    return dump({{"generation", document.generation},
                 {"base", formatIni(document.layers.base)},
                 {"overlays", overlays},
                 {"history", history}});
}

result<config_document> decodeConfig(std::string_view text)
{
    return decode<config_document>(text, "config", readDocument);
}

std::string encodeEdits(const std::vector<config_edit> &edits)
{
    return dump(toJson(edits));
}

result<std::vector<config_edit>> decodeEdits(std::string_view text)
{
    return decode<std::vector<config_edit>>(text, "edits", readEdits);
}

} // namespace foxtaildyke
