// Basic types of the library: handles, enumerations with their name tables, errors and the result type.
// All other headers depend on this one. It does no I/O.
#pragma once

#include <algorithm>
#include <array>
#include <boost/outcome.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtaildyke
{

/// Monotonic time since an arbitrary epoch, in microseconds. Not comparable between processes.
using instant = std::chrono::microseconds;

/// Index into a table of the configuration in force.
/// @remarks A handle is valid only within the generation it was obtained from. Names are stable across generations.
template <typename tag>
struct handle {
    static constexpr std::uint16_t kInvalidIndex = UINT16_MAX;
    std::uint16_t index = kInvalidIndex;

    [[nodiscard]] constexpr bool isValid() const { return index != kInvalidIndex; }
    constexpr auto operator<=>(const handle &) const = default; // NOLINT(modernize-use-nullptr): a false positive
};

using account_handle = handle<struct account_tag>;
using model_handle = handle<struct model_tag>;
using version_handle = handle<struct version_tag>;
using kind_handle = handle<struct kind_tag>;
using upstream_handle = handle<struct upstream_tag>;
using host_handle = handle<struct host_tag>;

/// Sequence number of a configuration; 0 means that none is known yet.
using generation_number = std::uint64_t;

/// Identifies a request inside one router process.
enum class request_token : std::uint64_t {};

/// Identifies an attempt inside one router process. The upstream receives it together with the host's name.
enum class attempt_token : std::uint64_t {};

/// Outcome of a request, as reported to its caller.
enum class outcome_kind : std::uint8_t {
    complete, ///< complete response delivered
    invalid, ///< malformed or unauthenticated; not sent to any upstream
    not_run, ///< refused; not sent to any upstream
    may_have_run, ///< the result of an earlier attempt is unknown; not retried
    failed_after_run, ///< sent to an upstream, without a complete response
    count
};

/// Reason why a request ended without a complete response.
enum class reason_code : std::uint8_t {
    none,
    unknown_account,
    unknown_kind,
    malformed_body,
    body_too_large,
    missing_request_id,
    malformed_request_id,
    request_id_expired,
    not_allowed,
    version_withdrawn,
    session_version_withdrawn,
    invalid_session_token,
    no_fresh_configuration,
    rate_limited,
    over_capacity,
    deadline_unreachable,
    no_upstream,
    quarantined,
    store_unavailable,
    duplicate_in_progress,
    draining,
    upstream_failed,
    answer_truncated,
    deadline_exceeded,
    caller_gone,
    count
};

/// Scheduling class; a lower value has priority.
enum class request_class : std::uint8_t { interactive, standard, batch, count };

/// Lifecycle state of a version. Withdrawn is final.
enum class version_state : std::uint8_t {
    rolling_out, ///< receives a share of new sessions within its exposure budget
    active, ///< receives new sessions
    halted, ///< no new sessions; existing sessions continue
    withdrawn, ///< receives no requests
    count
};

/// State of a host in the platform's host list.
enum class host_state : std::uint8_t { live, leaving, count };

/// Ways in which an attempt ends without a complete response.
enum class attempt_failure : std::uint8_t {
    not_sent, ///< nothing was written to the upstream's socket
    overloaded, ///< refused by the upstream before running (HTTP 429 or 503)
    connection_lost, ///< lost after sending; the upstream may have run the attempt
    truncated, ///< the stream ended without its final event
    timed_out, ///< cancelled at the attempt's deadline
    rejected, ///< refused by the upstream with another HTTP status
    count
};

/// Errors inside the library and between processes.
enum class error_code : std::uint8_t {
    invalid_syntax,
    unknown_section,
    unknown_key,
    missing_key,
    value_out_of_range,
    unknown_reference,
    overlay_contradicts_base,
    version_reinstated,
    conflict,
    stale_generation,
    unauthenticated,
    forbidden,
    not_found,
    unavailable,
    timed_out,
    too_large,
    protocol_violation,
    io_failure,
    count
};

/// An error code with the field, key or object it concerns.
struct error {
    error_code code = error_code::io_failure;
    std::string field;
};

/// Value or error. Access is unchecked: test the result before reading the value.
template <typename value_type>
using result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<value_type, error>;

/// Names of the values of an enumeration, in order. They are used on the wire and in logs.
template <typename enumeration>
struct enum_names;

template <>
struct enum_names<outcome_kind> {
    static constexpr std::array kNames{"complete", "invalid", "not_run", "may_have_run", "failed_after_run"};
};

template <>
struct enum_names<reason_code> {
    static constexpr std::array kNames{"none",
                                       "unknown_account",
                                       "unknown_kind",
                                       "malformed_body",
                                       "body_too_large",
                                       "missing_request_id",
                                       "malformed_request_id",
                                       "request_id_expired",
                                       "not_allowed",
                                       "version_withdrawn",
                                       "session_version_withdrawn",
                                       "invalid_session_token",
                                       "no_fresh_configuration",
                                       "rate_limited",
                                       "over_capacity",
                                       "deadline_unreachable",
                                       "no_upstream",
                                       "quarantined",
                                       "store_unavailable",
                                       "duplicate_in_progress",
                                       "draining",
                                       "upstream_failed",
                                       "answer_truncated",
                                       "deadline_exceeded",
                                       "caller_gone"};
};

template <>
struct enum_names<request_class> {
    static constexpr std::array kNames{"interactive", "standard", "batch"};
};

template <>
struct enum_names<version_state> {
    static constexpr std::array kNames{"rolling_out", "active", "halted", "withdrawn"};
};

template <>
struct enum_names<host_state> {
    static constexpr std::array kNames{"live", "leaving"};
};

template <>
struct enum_names<attempt_failure> {
    static constexpr std::array kNames{"not_sent",  "overloaded", "connection_lost",
                                       "truncated", "timed_out",  "rejected"};
};

template <>
struct enum_names<error_code> {
    static constexpr std::array kNames{"invalid_syntax",
                                       "unknown_section",
                                       "unknown_key",
                                       "missing_key",
                                       "value_out_of_range",
                                       "unknown_reference",
                                       "overlay_contradicts_base",
                                       "version_reinstated",
                                       "conflict",
                                       "stale_generation",
                                       "unauthenticated",
                                       "forbidden",
                                       "not_found",
                                       "unavailable",
                                       "timed_out",
                                       "too_large",
                                       "protocol_violation",
                                       "io_failure"};
};

/// @returns the name of an enumeration value, as used on the wire and in logs.
template <typename enumeration>
[[nodiscard]] constexpr std::string_view nameOf(enumeration value)
{
    static_assert(enum_names<enumeration>::kNames.size() == static_cast<std::size_t>(enumeration::count),
                  "the name table has one entry for each value");
    return enum_names<enumeration>::kNames[static_cast<std::size_t>(value)];
}

/// @returns the value with this name, or nothing if the name is unknown.
template <typename enumeration>
[[nodiscard]] constexpr std::optional<enumeration> valueOf(std::string_view name)
{
    const auto &names = enum_names<enumeration>::kNames;
    const auto found = std::ranges::find(names, name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<enumeration>(found - names.begin());
}

} // namespace foxtaildyke
