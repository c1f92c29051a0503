// Accounts for the memory that the bodies of requests take on a host, so that many large bodies at once are rejected
// instead of ending the process. Large bodies can't take the part that is kept for small ones.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

namespace foxtaildyke
{

class body_memory;

/// Bytes of small bodies, and of large ones.
using body_bytes = std::array<std::size_t, 2>;

/// Memory that a body may take; given back on destruction. It may outlive the account: libevent frees what a closed
/// connection was writing only later.
class body_reservation
{
public:
    body_reservation() = default;
    body_reservation(body_reservation &&other) noexcept;
    body_reservation &operator=(body_reservation &&other) noexcept;
    ~body_reservation();

    [[nodiscard]] std::size_t bytes() const { return m_bytes; }

private:
    friend class body_memory;
    body_reservation(std::shared_ptr<body_bytes> reserved, std::size_t bytes)
        : m_reserved(std::move(reserved))
        , m_bytes(bytes)
    {
    }

    std::shared_ptr<body_bytes> m_reserved; ///< of the account; null: nothing is reserved
    std::size_t m_bytes = 0;
};

class body_memory
{
public:
    /// @param limitBytes for all bodies together.
    explicit body_memory(std::size_t limitBytes);

    /// @returns a reservation for a body of the given size, or nothing if there is no room for it.
    [[nodiscard]] std::optional<body_reservation> reserve(std::size_t bytes);

    /// Changes a reservation to a larger size. @returns false, without a change, if there is no room.
    [[nodiscard]] bool grow(body_reservation &reservation, std::size_t bytes);

    [[nodiscard]] std::size_t reservedBytes() const { return m_reserved->front() + m_reserved->back(); }

    /// Bodies up to this size are small.
    static constexpr std::size_t kSmallBodyBytes = 64U << 10U;
    /// Part of the limit that is kept for small bodies.
    static constexpr double kSmallBodyShare = 0.25;

private:
    friend class body_reservation;
    /// @returns the index of the part of the account for bodies of this size.
    [[nodiscard]] static std::size_t partOf(std::size_t bytes) { return bytes <= kSmallBodyBytes ? 0 : 1; }

    body_bytes m_limits;
    std::shared_ptr<body_bytes> m_reserved = std::make_shared<body_bytes>(); ///< never above the limits
};

} // namespace foxtaildyke
