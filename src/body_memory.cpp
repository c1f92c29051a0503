// Memory of request bodies; see body_memory_p.h.
#include "body_memory_p.h"

namespace foxtaildyke
{

body_reservation::body_reservation(body_reservation &&other) noexcept
    : m_reserved(std::exchange(other.m_reserved, nullptr))
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

body_reservation &body_reservation::operator=(body_reservation &&other) noexcept
{
    std::swap(m_reserved, other.m_reserved);
    std::swap(m_bytes, other.m_bytes);
    return *this;
}

body_reservation::~body_reservation()
{
    if (m_reserved)
        (*m_reserved)[body_memory::partOf(m_bytes)] -= m_bytes;
}

body_memory::body_memory(std::size_t limitBytes)
{
    m_limits[0] = static_cast<std::size_t>(kSmallBodyShare * static_cast<double>(limitBytes));
    m_limits[1] = limitBytes - m_limits[0];
}

std::optional<body_reservation> body_memory::reserve(std::size_t bytes)
{
    const auto part = partOf(bytes);
    auto &reserved = (*m_reserved)[part];
    if (bytes > m_limits[part] - reserved)
        return std::nullopt;
    reserved += bytes;
    return body_reservation(m_reserved, bytes);
}

bool body_memory::grow(body_reservation &reservation, std::size_t bytes)
{
    if (bytes <= reservation.bytes())
        return true;
    const auto part = partOf(bytes);
    // Within one part only the difference is needed.
    const auto held = part == partOf(reservation.bytes()) ? reservation.bytes() : 0;
    if (bytes - held > m_limits[part] - (*m_reserved)[part])
        return false;
    (*m_reserved)[partOf(reservation.bytes())] -= reservation.bytes();
    (*m_reserved)[part] += bytes;
    reservation.m_reserved = m_reserved;
    reservation.m_bytes = bytes;
    return true;
}

} // namespace foxtaildyke
