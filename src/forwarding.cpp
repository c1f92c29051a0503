// Construction of the heads of forwarded messages; see forwarding_p.h.
#include "forwarding_p.h"

#include "http_status_p.h"
#include "text_hash_p.h"

#include <numeric>

namespace foxtaildyke
{

namespace
{

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that the gateway handles or generates itself.
constexpr std::array<std::string_view, 11> kNeverForwarded{
    "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
    "TE",         "Trailer",    "Upgrade",          "Transfer-Encoding",  "Content-Length",
    "Expect"};

constexpr std::uint32_t kLowestPriority = 9;

bool isNeverForwarded(std::string_view name)
{
    return std::ranges::any_of(kNeverForwarded, [name](std::string_view other) { return isSameHeader(name, other); });
}

bool isOneOf(std::string_view name, const std::vector<std::string> &names)
{
    return std::ranges::any_of(names, [name](const std::string &other) { return isSameHeader(name, other); });
}

/// Parses "PROMPT,OUTPUT" and the caller's estimate of the output length; the estimate takes precedence.
void parseTokenCounts(request_metadata &metadata, const message_head &head, const header_names &headerNames)
{
    const auto counts = splitList(head.header(headerNames.tokenCounts));
    if (!counts.empty())
        metadata.promptTokens = parseNumber(counts.front()).value_or(0);
    if (counts.size() > 1)
        metadata.outputTokens = parseNumber(counts[1]).value_or(0);
    if (const auto hint = parseNumber(head.header(headerNames.lengthHint)))
        metadata.outputTokens = *hint;
}

std::uint64_t tokensOf(std::string_view part)
{
    const auto colon = part.find(':');
    return colon == std::string_view::npos ? 0 : parseNumber(part.substr(colon + 1)).value_or(0);
}

/// Parses "ID:TOKENS,...": the last part is specific to the request, the parts before it are shared with others.
void parsePromptParts(request_metadata &metadata, const message_head &head, const header_names &headerNames)
{
    const auto parts = splitList(head.header(headerNames.promptParts));
    if (parts.size() < 2)
        return;
    // Setting the lowest bit avoids 0, which stands for no shared prefix.
    metadata.sharedPrefixHash = hashOf(parts[parts.size() - 2]) | 1U;
    metadata.sharedTokens = std::accumulate(parts.begin(), parts.end() - 1, std::uint64_t{0},
                                            [](std::uint64_t sum, const auto &part) { return sum + tokensOf(part); });
    metadata.promptTokens = std::max(metadata.promptTokens, metadata.sharedTokens);
    std::transform(parts.begin(), parts.end() - 1, std::back_inserter(metadata.sharedParts),
                   [](std::string_view part) { return hashOf(part.substr(0, part.find(':'))); });
}

} // namespace

request_metadata parseRequestHeaders(const message_head &head, const header_names &headerNames)
{
    request_metadata metadata;
    metadata.id = head.header(headerNames.requestId);
    metadata.host = head.header("Host");
    metadata.model = head.header(headerNames.model);
    if (const auto timeout = parseNumber(head.header(headerNames.deadline)))
        metadata.timeout = std::chrono::milliseconds{*timeout};
    metadata.lastEventId = parseNumber(head.header(headerNames.lastEventId));
    const auto authorization = head.header("Authorization");
    const auto scheme = authorization.substr(0, authorization.find(' '));
    if (isSameHeader(scheme, headerNames.keyScheme) && scheme.size() < authorization.size())
        metadata.key = trimmed(authorization.substr(scheme.size() + 1));
    const auto session = head.header(headerNames.session);
    metadata.session = hashOf(session.empty() ? std::string_view(metadata.id) : session);
    parseTokenCounts(metadata, head, headerNames);
    parsePromptParts(metadata, head, headerNames);
    return metadata;
}

std::uint64_t fingerprintOf(const inbound_request &request, std::string_view account)
{
    const auto &head = request.head;
    // The hash of each part seeds the next, so that moving a byte from one part to another changes the result.
    return hashOf(request.body, hashOf(head.target, hashOf(head.method, hashOf(account))));
}

std::string forwardedHead(const inbound_request &request, const forward_fields &fields, const header_names &headerNames)
{
    const auto &head = request.head;
    const auto connectionOptions = splitList(head.header("Connection"));
    std::string text = head.method + ' ' + head.target + " HTTP/1.1\r\n";
    const auto add = [&text](std::string_view name, std::string_view value) {
        text.append(name).append(": ").append(value).append("\r\n");
    };
    // Authorization is removed without a replacement: it contains the caller's API key.
    const bool removesKey = !fields.keepsKey;
    const auto isReplaced = [&](std::string_view name) {
        const auto isSame = [name](const auto &added) {
            return isSameHeader(name, added.first);
        };
        return std::ranges::any_of(fields.more, isSame)
            || (!fields.model.empty() && isSameHeader(name, headerNames.model))
            || (fields.lastEventId && isSameHeader(name, headerNames.lastEventId))
            || isSameHeader(name, headerNames.deadline) || (removesKey && isSameHeader(name, "Authorization"));
    };
    // These are forwarded even if the caller lists them in its Connection header.
    const auto isRequired = [&](std::string_view name) {
        return isSameHeader(name, "Host") || isSameHeader(name, headerNames.requestId)
            || isSameHeader(name, headerNames.model) || isSameHeader(name, headerNames.tokenCounts)
            || isSameHeader(name, headerNames.promptParts) || isSameHeader(name, headerNames.lastEventId)
            || (!removesKey && isSameHeader(name, "Authorization"));
    };
    for (const auto &[name, value] : head.headers) {
        const bool isConnectionOption = isOneOf(name, connectionOptions) && !isRequired(name);
        if (!isNeverForwarded(name) && !isConnectionOption && !isReplaced(name) && !isOneOf(name, headerNames.reserved))
            add(name, value);
    }
    add(headerNames.deadline, std::to_string(fields.timeout.count()));
    if (!fields.replica.empty())
        add(headerNames.expectReplica, fields.replica);
    if (!fields.account.empty())
        add(headerNames.account, fields.account);
    if (!fields.model.empty())
        add(headerNames.model, fields.model);
    if (fields.priority)
        add(headerNames.priority, std::to_string(std::min(*fields.priority, kLowestPriority)));
    if (fields.lastEventId)
        add(headerNames.lastEventId, std::to_string(*fields.lastEventId));
    for (const auto &[name, value] : fields.more)
        add(name, value);
    const bool hasBody = head.length || head.isChunked;
    if (hasBody)
        add("Content-Length", std::to_string(request.body.size()));
    return text + "\r\n";
}

bool isEventStream(const message_head &head)
{
    const auto type = head.header("Content-Type");
    return type.empty() || isSameHeader(trimmed(type.substr(0, type.find(';'))), "text/event-stream");
}

bool impliesNotRun(int status)
{
    return status == http_status::kRequestTimeout || status == http_status::kMisdirectedRequest
        || status == http_status::kTooManyRequests || status == http_status::kServiceUnavailable;
}

http_headers forwardedResponseHeaders(const message_head &response)
{
    const auto connectionOptions = splitList(response.header("Connection"));
    http_headers forwarded;
    std::ranges::copy_if(response.headers, std::back_inserter(forwarded), [&](const auto &entry) {
        return !isNeverForwarded(entry.first) && !isOneOf(entry.first, connectionOptions);
    });
    return forwarded;
}

} // namespace foxtaildyke
