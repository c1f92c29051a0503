// Sends this host's load report to the other hosts by UDP and takes theirs.
#pragma once

#include "event_loop_p.h"
#include "http_client_p.h"
#include "peer_loads_p.h"

struct event;

namespace foxtaildyke
{

class load_exchange
{
public:
    /// @param endpoint own address and port; the other hosts use the same port.
    load_exchange(event_loop &loop, http_endpoint endpoint, std::vector<std::string> seeds, replica_table &replicas);
    ~load_exchange();
    load_exchange(const load_exchange &) = delete;
    load_exchange &operator=(const load_exchange &) = delete;

    /// Starts to send and to receive. @returns error_code::io_failure where the port can't be used.
    [[nodiscard]] result<void> start();

    [[nodiscard]] std::uint64_t malformed() const { return m_malformed; }

    /// Time between two reports: about as long as an engine takes to read a long prompt.
    static constexpr std::chrono::milliseconds kInterval{100};

private:
    void onReadable();
    void tick();
    void send(const std::string &address, const std::string &bytes) const;

    event_loop &m_loop;
    http_endpoint m_endpoint;
    replica_table &m_replicas;
    peer_loads m_peers;
    int m_socket = -1;
    event *m_readable = nullptr;
    loop_timer m_timer;
    std::uint64_t m_process;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_malformed = 0; ///< datagrams that were no report
};

} // namespace foxtaildyke
