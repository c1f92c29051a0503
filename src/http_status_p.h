// HTTP status codes that the programs send or distinguish (RFC 9110; 429 and 431: RFC 6585).
#pragma once

namespace foxtaildyke::http_status
{

inline constexpr int kOk = 200;
inline constexpr int kNoContent = 204;
inline constexpr int kNotModified = 304;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kContentTooLarge = 413;
inline constexpr int kMisdirectedRequest = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kHeadersTooLarge = 431;
inline constexpr int kServiceUnavailable = 503;

/// @returns whether a status is that of a response which another one follows (RFC 9110, 15.2).
[[nodiscard]] constexpr bool isInterim(int status)
{
    constexpr int kFirst = 100;
    return status >= kFirst && status < kOk;
}

/// @returns whether a status is that of a final response (RFC 9110, 15).
[[nodiscard]] constexpr bool isFinal(int status)
{
    constexpr int kLast = 599;
    return status >= kOk && status <= kLast;
}

[[nodiscard]] constexpr bool isSuccess(int status)
{
    constexpr int kFirstRedirect = 300;
    return status >= kOk && status < kFirstRedirect;
}

} // namespace foxtaildyke::http_status
