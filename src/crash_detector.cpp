// Detection of replicas that have ended; see crash_detector_p.h.
#include "crash_detector_p.h"

namespace foxtaildyke
{

crash_detector::pending_check::pending_check(event_loop &loop, std::function<void()> onTimeout)
    : timeout(loop, std::move(onTimeout))
{
}

crash_detector::crash_detector(connection_pool &pool, crash_handler onCrash)
    : m_pool(pool)
    , m_onCrash(std::move(onCrash))
{
}

void crash_detector::check(broken_attempt attempt)
{
    auto &pending = m_pending[attempt.replica];
    if (!pending) {
        const auto replica = attempt.replica;
        pending = std::make_unique<pending_check>(m_pool.loop(), [this, replica] { finish(replica); });
        pending->socket = std::make_unique<stream_socket>(
            m_pool.loop(), attempt.address,
            stream_socket::handlers{.onConnected = [this, replica] { onConnected(replica); },
                                    .onReadable = {},
                                    .onDrained = {},
                                    .onEnd =
                                        [this, replica](socket_end) {
                                            onRefused(replica);
                                        }});
        pending->timeout.start(connection_pool::kConnectTimeout);
    }
    pending->attempts.push_back(std::move(attempt));
}

std::vector<broken_attempt> crash_detector::finish(const std::string &replica)
{
    const auto found = m_pending.find(replica);
    if (found == m_pending.end())
        return {};
    auto done = std::make_shared<check_ptr>(std::move(found->second));
    m_pending.erase(found);
    (*done)->timeout.stop();
    // The connection may have been established in the same loop iteration in which the time-out ends.
    if ((*done)->socket)
        (*done)->socket->setHandlers({});
    m_pool.loop().after(std::chrono::microseconds{0}, [done] { done->reset(); });
    return std::move((*done)->attempts);
}

/// The replica is running. The connection is kept for the next request to it.
void crash_detector::onConnected(const std::string &replica)
{
    auto socket = std::move(m_pending.at(replica)->socket);
    const auto attempts = finish(replica);
    m_pool.release(replica, attempts.front().address, std::move(socket), std::chrono::milliseconds{0});
}

void crash_detector::onRefused(const std::string &replica)
{
    for (const auto &attempt : finish(replica))
        m_onCrash(attempt);
}

} // namespace foxtaildyke
