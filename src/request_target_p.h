// Target of an HTTP request: path and query. What comes from elsewhere, such as the name of an object, is
// percent-encoded here and nowhere else, so that it may hold any bytes.
#pragma once

#include <string>
#include <string_view>

namespace foxtaildyke
{

class request_target
{
public:
    request_target() = default;
    /// @param path a constant of the program, or text that is encoded already; may have a query.
    request_target(const char *path) // NOLINT(google-explicit-constructor): constants need no encoding
        : m_text(path)
    {
    }

    /// @param text a target that is encoded already.
    [[nodiscard]] static request_target fromEncoded(std::string text);

    /// Appends "/" and one segment of the path; a slash in it doesn't separate segments.
    request_target &addSegment(std::string_view segment);
    /// Appends "/" and the segments of a key, which are separated by slashes.
    request_target &addSegments(std::string_view key);
    /// Appends a parameter of the query. No segment can follow.
    request_target &addParameter(std::string_view name, std::string_view value);

    [[nodiscard]] const std::string &text() const { return m_text; }

private:
    std::string m_text; ///< only characters that may occur in a request line (RFC 3986, 2)
};

} // namespace foxtaildyke
