// Percent-encoding of request targets; see request_target_p.h.
#include "request_target_p.h"

#include <cstdlib>
#include <event2/http.h>

namespace foxtaildyke
{

namespace
{

/// Encodes all characters except unreserved ones (RFC 3986, 2.3).
std::string encodeComponent(std::string_view text)
{
    char *encoded = evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0);
    std::string copy(encoded);
    std::free(encoded); // NOLINT: libevent allocates it with malloc
    return copy;
}

} // namespace

request_target request_target::fromEncoded(std::string text)
{
    request_target target;
    target.m_text = std::move(text);
    return target;
}

request_target &request_target::addSegment(std::string_view segment)
{
    m_text += '/' + encodeComponent(segment);
    return *this;
}

request_target &request_target::addSegments(std::string_view key)
{
    const auto slash = key.find('/');
    addSegment(key.substr(0, slash));
    return slash == std::string_view::npos ? *this : addSegments(key.substr(slash + 1));
}

request_target &request_target::addParameter(std::string_view name, std::string_view value)
{
    m_text += m_text.find('?') == std::string::npos ? '?' : '&';
    m_text += encodeComponent(name) + '=' + encodeComponent(value);
    return *this;
}

} // namespace foxtaildyke
