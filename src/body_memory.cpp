// Memory of request bodies; see body_memory_p.h.
#include "body_memory_p.h"

namespace foxtaildyke
{

body_reservation::body_reservation(body_reservation &&other) noexcept
    : m_account(std::exchange(other.m_account, nullptr))
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

body_reservation &body_reservation::operator=(body_reservation &&other) noexcept
{
    std::swap(m_account, other.m_account);
    std::swap(m_bytes, other.m_bytes);
    return *this;
}

body_reservation::~body_reservation()
{
    if (m_account)
        m_account->release(m_bytes);
}

body_memory::body_memory(std::size_t limitBytes)
{
    m_limits[0] = static_cast<std::size_t>(kSmallBodyShare * static_cast<double>(limitBytes));
    m_limits[1] = limitBytes - m_limits[0];
}

std::optional<body_reservation> body_memory::reserve(std::size_t bytes)
{
    const auto part = partOf(bytes);
    if (bytes > m_limits[part] - m_reserved[part])
        return std::nullopt;
    m_reserved[part] += bytes;
    return body_reservation(*this, bytes);
}

bool body_memory::grow(body_reservation &reservation, std::size_t bytes)
{
    if (bytes <= reservation.bytes())
        return true;
    const auto part = partOf(bytes);
    // Within one part only the difference is needed.
    const auto held = part == partOf(reservation.bytes()) ? reservation.bytes() : 0;
    if (bytes - held > m_limits[part] - m_reserved[part])
        return false;
    release(reservation.bytes());
    m_reserved[part] += bytes;
    reservation.m_account = this;
    reservation.m_bytes = bytes;
    return true;
}

} // namespace foxtaildyke
