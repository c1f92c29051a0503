// Encoding of what hosts tell each other about detours; see detour_wire_p.h.
#include "detour_wire_p.h"

#include "bounded_json_p.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace foxtaildyke
{

namespace
{

using nlohmann::json;

constexpr std::string_view kHost = "Detour-Host";
constexpr std::string_view kService = "Detour-Service";
constexpr std::string_view kGeneration = "Detour-Generation";
constexpr std::string_view kSends = "Detour-Sends";
constexpr std::string_view kModel = "Detour-Model";
constexpr std::string_view kRefused = "Detour-Refused"; ///< name of a detour_refusal
constexpr std::string_view kReplica = "Detour-Replica"; ///< "STARTED_AT_MS ID"

constexpr std::array kAll{kHost, kService, kGeneration, kSends, kModel, kRefused, kReplica};

/// Ages and counts beyond this aren't from a host.
constexpr std::int64_t kMaxNumber = 1'000'000'000;

bool isDetourHeader(std::string_view name)
{
    return std::ranges::any_of(kAll, [name](std::string_view own) { return isSameHeader(name, own); });
}

void removeDetourHeaders(message_head &head)
{
    std::erase_if(head.headers, [](const auto &entry) { return isDetourHeader(entry.first); });
}

std::optional<replica_run> parseReplica(std::string_view text)
{
    const auto space = text.find(' ');
    if (space == std::string_view::npos)
        return std::nullopt;
    replica_run replica;
    replica.id = text.substr(space + 1);
    const auto [end, failure] = std::from_chars(text.data(), text.data() + space, replica.startedAtMs);
    return failure == std::errc{} && end == text.data() + space ? std::optional(replica) : std::nullopt;
}

json encode(const host_statement &statement)
{
    json contacts = json::object();
    for (const auto &[service, age] : statement.contacts)
        contacts[service] = age.count();
    return {{"host", statement.host},
            {"address", statement.address.address + ':' + std::to_string(statement.address.port)},
            {"detours", statement.detours},
            {"contacts", std::move(contacts)},
            {"cut_off", statement.cutOff}};
}

/// @returns the member if it is a whole number between 0 and kMaxNumber.
std::optional<std::int64_t> number(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_integer())
        return std::nullopt;
    const auto value = found->get<std::int64_t>();
    return value >= 0 && value <= kMaxNumber ? std::optional(value) : std::nullopt;
}

std::optional<aged_statement> decode(const json &object)
{
    if (!object.is_object() || !object.contains("host") || !object["host"].is_string() || !object.contains("address")
        || !object["address"].is_string())
        return std::nullopt;
    const auto address = parseEndpoint(object["address"].get<std::string>());
    const auto detours = number(object, "detours");
    if (!address || !detours || !object.contains("contacts") || !object["contacts"].is_object())
        return std::nullopt;
    aged_statement decoded;
    decoded.statement.host = object["host"];
    decoded.statement.address = *address;
    decoded.statement.detours = static_cast<std::uint32_t>(*detours);
    for (const auto &[service, age] : object["contacts"].items())
        if (const auto ms = number(object["contacts"], service.c_str()))
            decoded.statement.contacts[service] = std::chrono::milliseconds{*ms};
    const auto cutOff = object.find("cut_off");
    if (cutOff != object.end() && cutOff->is_array())
        for (const auto &service : *cutOff)
            if (service.is_string())
                decoded.statement.cutOff.push_back(service);
    decoded.age = std::chrono::milliseconds{number(object, "age_ms").value_or(0)};
    return decoded;
}

} // namespace

std::chrono::milliseconds pauseAfter(detour_refusal refusal)
{
    const bool isBrief = refusal == detour_refusal::outdated || refusal == detour_refusal::busy;
    return isBrief ? detour_hosts::kBriefPause : detour_hosts::kFailurePause;
}

std::string detourHead(const inbound_request &request, const detour_request &detour, std::chrono::milliseconds timeout,
                       std::optional<std::uint64_t> lastEventId, const header_names &headerNames)
{
    forward_fields fields;
    fields.timeout = timeout;
    fields.lastEventId = lastEventId;
    fields.keepsKey = true;
    fields.more = {{std::string(kHost), detour.host},
                   {std::string(kService), detour.service},
                   {std::string(kGeneration), std::to_string(detour.generation)},
                   {std::string(kSends), std::to_string(detour.sends)},
                   {std::string(kModel), detour.model ? std::to_string(*detour.model) : std::string()}};
    return forwardedHead(request, fields, headerNames);
}

std::optional<detour_request> takeDetour(message_head &head)
{
    detour_request detour;
    detour.host = head.header(kHost);
    detour.service = head.header(kService);
    const auto generation = parseNumber(head.header(kGeneration));
    const auto sends = parseNumber(head.header(kSends));
    detour.model = parseNumber(head.header(kModel));
    removeDetourHeaders(head);
    if (detour.host.empty() || detour.service.empty() || !generation || !sends)
        return std::nullopt;
    detour.generation = *generation;
    detour.sends = static_cast<std::uint32_t>(std::min<std::uint64_t>(*sends, kMaxNumber));
    return detour;
}

void addDetourResponse(http_headers &headers, const detour_response &response)
{
    if (response.replica)
        headers.emplace_back(kReplica, std::to_string(response.replica->startedAtMs) + ' ' + response.replica->id);
    if (response.model)
        headers.emplace_back(kModel, std::to_string(*response.model));
}

http_headers refusedDetourHeaders(detour_refusal refusal)
{
    return {{std::string(kRefused), std::string(nameOf(refusal))}};
}

detour_response takeDetourResponse(message_head &head)
{
    detour_response response;
    const auto refused = head.header(kRefused);
    const auto &names = enum_names<detour_refusal>::kNames;
    const auto refusal = std::ranges::find(names, refused);
    if (refusal != names.end())
        response.refusal = static_cast<detour_refusal>(refusal - names.begin());
    else if (!refused.empty())
        response.refusal = detour_refusal::busy; // a reason of a newer build
    response.replica = parseReplica(head.header(kReplica));
    response.model = parseNumber(head.header(kModel));
    removeDetourHeaders(head);
    return response;
}

std::string encodeStatements(const host_statement &own, const std::vector<aged_statement> &others)
{
    json body = encode(own);
    body["others"] = json::array();
    for (const auto &other : others) {
        body["others"].push_back(encode(other.statement));
        body["others"].back()["age_ms"] = other.age.count();
    }
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<aged_statement> decodeStatements(const std::string &text)
{
    const auto body = parseBounded(text);
    const auto own = decode(body);
    if (!own)
        return {};
    std::vector<aged_statement> statements{*own};
    const auto others = body.find("others");
    if (others == body.end() || !others->is_array())
        return statements;
    for (const auto &other : *others)
        if (auto decoded = decode(other); decoded && statements.size() <= detour_hosts::kSampleSize)
            statements.push_back(std::move(*decoded));
    return statements;
}

} // namespace foxtaildyke
