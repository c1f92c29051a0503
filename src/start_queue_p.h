// Requests that a host has received before it knows configuration, replicas and roll-outs. They wait for these shortly
// after the start, when all hosts of a fleet may have been restarted and no other one could serve them. No I/O, no
// clock.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <boost/intrusive/list.hpp>

namespace foxtaildyke
{

/// A request that can wait. Leaves the queue when it is destroyed.
class starting_request
    : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    /// Called once the host can process requests.
    virtual void onHostStarted() = 0;

    /// Leaves the queue, if it is in it.
    void leaveQueue()
    {
        if (is_linked())
            unlink();
    }

protected:
    starting_request() = default;
    ~starting_request() = default;
};

class start_queue
{
public:
    /// @param startedAt when the host began to accept requests.
    explicit start_queue(instant startedAt)
        : m_startedAt(startedAt)
    {
    }

    /// @param timeout time that the caller waits for a response.
    /// @returns how long a request that arrives now should wait; 0: it should be rejected.
    [[nodiscard]] std::chrono::milliseconds waitTime(instant now, std::chrono::milliseconds timeout) const
    {
        const auto rest = std::chrono::ceil<std::chrono::milliseconds>(m_startedAt + kMaxWait - now);
        return std::clamp(rest, std::chrono::milliseconds{0}, timeout / kTimeoutDivisor);
    }

    void push(starting_request &request) { m_requests.push_back(request); }

    /// Resumes all requests.
    void resume()
    {
        while (!m_requests.empty()) {
            auto &request = m_requests.front();
            m_requests.pop_front();
            request.onHostStarted();
        }
    }

    /// Time after the start within which a host of a large fleet normally has found a relay and read everything.
    static constexpr std::chrono::milliseconds kMaxWait{1500};
    /// A request waits for this part of its time, so that its caller can try another host afterwards.
    static constexpr int kTimeoutDivisor = 4;

private:
    instant m_startedAt;
    boost::intrusive::list<starting_request, boost::intrusive::constant_time_size<false>> m_requests;
};

} // namespace foxtaildyke
