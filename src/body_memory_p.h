// Accounts for the memory that the bodies of requests take on a host, so that many large bodies at once are rejected
// instead of ending the process. Large bodies can't take the part that is kept for small ones.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace foxtaildyke
{

class body_memory;

/// Memory that a body may take; given back on destruction.
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
    body_reservation(body_memory &account, std::size_t bytes)
        : m_account(&account)
        , m_bytes(bytes)
    {
    }

    body_memory *m_account = nullptr; ///< null: nothing is reserved
    std::size_t m_bytes = 0;
};

/// Must outlive its reservations.
class body_memory
{
public:
    /// @param limitBytes for all bodies together.
    explicit body_memory(std::size_t limitBytes);

    /// @returns a reservation for a body of the given size, or nothing if there is no room for it.
    [[nodiscard]] std::optional<body_reservation> reserve(std::size_t bytes);

    /// Changes a reservation to a larger size. @returns false, without a change, if there is no room.
    [[nodiscard]] bool grow(body_reservation &reservation, std::size_t bytes);

    [[nodiscard]] std::size_t reservedBytes() const { return m_reserved[0] + m_reserved[1]; }

    /// Bodies up to this size are small.
    static constexpr std::size_t kSmallBodyBytes = 64U << 10U;
    /// Part of the limit that is kept for small bodies.
    static constexpr double kSmallBodyShare = 0.25;

private:
    friend class body_reservation;
    /// @returns the index of the part of the account for bodies of this size.
    [[nodiscard]] static std::size_t partOf(std::size_t bytes) { return bytes <= kSmallBodyBytes ? 0 : 1; }
    void release(std::size_t bytes) { m_reserved[partOf(bytes)] -= bytes; }

    std::array<std::size_t, 2> m_limits; ///< bytes of small bodies, and of large ones
    std::array<std::size_t, 2> m_reserved{}; ///< the same; never above the limits
};

} // namespace foxtaildyke
