// Load reports between hosts; see load_exchange_p.h.
#include "load_exchange_p.h"

#include "gateway_clock_p.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtaildyke
{

namespace
{

constexpr std::size_t kMostBytes = 8192; ///< of a datagram

sockaddr_in socketAddress(const std::string &address, std::uint16_t port)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &target.sin_addr);
    return target;
}

} // namespace

load_exchange::load_exchange(event_loop &loop, http_endpoint endpoint, std::vector<std::string> seeds,
                             replica_table &replicas)
    : m_loop(loop)
    , m_endpoint(std::move(endpoint))
    , m_replicas(replicas)
    , m_peers(m_endpoint.address, std::move(seeds))
    , m_timer(loop, [this] { tick(); })
    , m_process((std::uint64_t{std::random_device{}()} << 32U) | std::random_device{}())
{
}

load_exchange::~load_exchange()
{
    if (m_readable)
        event_free(m_readable);
    if (m_socket >= 0)
        ::close(m_socket);
}

result<void> load_exchange::start()
{
    m_socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto address = socketAddress(m_endpoint.address, m_endpoint.port);
    if (m_socket < 0 || ::bind(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0)
        return error{error_code::io_failure, m_endpoint.address};
    const auto read = [](evutil_socket_t, short, void *self) {
        static_cast<load_exchange *>(self)->onReadable();
    };
    m_readable = event_new(m_loop.base(), m_socket, EV_READ | EV_PERSIST, read, this);
    event_add(m_readable, nullptr);
    m_timer.start(kInterval);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void load_exchange::onReadable()
{
    std::array<char, kMostBytes> buffer{};
    while (true) {
        const auto size = ::recv(m_socket, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            return;
        const auto report = decodeReport({buffer.data(), static_cast<std::size_t>(size)});
        if (report.has_error())
            ++m_malformed;
        else
            m_peers.take(report.value(), suspendAwareNow());
    }
}

void load_exchange::tick()
{
    const auto now = suspendAwareNow();
    m_replicas.setPeerLoads(m_peers.sums(now));
    load_report report;
    report.address = m_endpoint.address;
    report.sequence = ++m_sequence;
    report.process = m_process;
    report.loads = m_replicas.ownLoads();
    const auto targets = m_peers.targets(now);
    // Which hosts there are changes seldom; it is told once a second.
    constexpr std::uint64_t kReportsBetweenPeers = 10;
    if (m_sequence % kReportsBetweenPeers == 1)
        report.peers = m_peers.heard(now);
    const auto bytes = encodeReport(report);
    for (const auto &address : targets)
        send(address, bytes);
    m_timer.start(kInterval);
}

void load_exchange::send(const std::string &address, const std::string &bytes) const
{
    const auto target = socketAddress(address, m_endpoint.port);
    // A report that can't be sent now is stale by the time it could be; the next one follows soon.
    (void)::sendto(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<const sockaddr *>(&target),
                   sizeof(target));
}

} // namespace foxtaildyke
