// Connections that find out whether this host reaches replicas; see replica_prober_p.h.
#include "replica_prober_p.h"

namespace foxtaildyke
{

struct replica_prober::connection {
    connection(replica_prober &prober, std::string serviceName, const replica_entry &entry)
        : service(std::move(serviceName))
        , replica(entry.id)
        , address(entry.address)
        , startedAt(suspendAwareNow())
        , timeout(prober.m_pool.loop(), [this, &prober] { prober.finish(*this, false); })
        , socket(std::make_unique<stream_socket>(
              prober.m_pool.loop(), address,
              stream_socket::handlers{.onConnected = [this, &prober] { prober.finish(*this, true); },
                                      .onReadable = {},
                                      .onDrained = {},
                                      .onEnd =
                                          [this, &prober](socket_end) {
                                              prober.finish(*this, false);
                                          }}))
    {
        timeout.start(connection_pool::kConnectTimeout);
    }

    std::string service;
    std::string replica;
    http_endpoint address;
    instant startedAt{};
    loop_timer timeout;
    std::unique_ptr<stream_socket> socket;
};

replica_prober::replica_prober(connection_pool &pool, reachability &reach,
                               std::function<void(const std::string &)> onRoundEnd)
    : m_pool(pool)
    , m_reach(reach)
    , m_onRoundEnd(std::move(onRoundEnd))
{
}

replica_prober::~replica_prober() = default;

void replica_prober::probe(const std::string &service, const std::vector<const replica_entry *> &replicas,
                           std::mt19937_64 &random)
{
    if (!m_rounds[service].empty())
        return;
    m_reach.recordProbe(service, suspendAwareNow());
    std::vector<const replica_entry *> untried;
    std::ranges::copy_if(replicas, std::back_inserter(untried),
                         [&](const auto *entry) { return !m_reach.hasFailed(service, entry->id); });
    std::vector<const replica_entry *> targets;
    const std::size_t count = m_reach.failingSince(service) ? kConnections : 1;
    std::ranges::sample(untried.empty() ? replicas : untried, std::back_inserter(targets),
                        static_cast<std::ptrdiff_t>(count), random);
    auto &round = m_rounds[service];
    std::ranges::transform(targets, std::back_inserter(round),
                           [&](const auto *entry) { return std::make_unique<connection>(*this, service, *entry); });
}

/// Called from a handler of the connection, which is destroyed after that has returned.
void replica_prober::finish(connection &ended, bool isConnected)
{
    auto &round = m_rounds[ended.service];
    const auto found = std::ranges::find(round, &ended, &connection_ptr::get);
    if (found == round.end())
        return;
    const std::shared_ptr<connection> done = std::move(*found);
    round.erase(found);
    done->timeout.stop();
    done->socket->setHandlers({});
    if (isConnected) {
        m_reach.recordConnected(done->service, done->startedAt, suspendAwareNow());
        m_pool.release(done->replica, done->address, std::move(done->socket), std::chrono::milliseconds{0});
    } else {
        m_reach.recordConnectFailure(done->service, done->replica, done->startedAt, suspendAwareNow());
    }
    m_pool.loop().after(std::chrono::microseconds{0}, [done] {});
    if (round.empty())
        m_onRoundEnd(done->service);
}

} // namespace foxtaildyke
