// A TCP proxy in front of a replica, for one host alone: the path between the two can be cut while the replica goes on
// serving others.
#pragma once

#include "http_client_p.h"
#include "stream_socket_p.h"

#include <optional>

struct evconnlistener;

namespace foxtaildyke
{

/// How a cut shows at the host.
enum class cut_form : std::uint8_t {
    silent, ///< connections and attempts to connect hang
    resetting, ///< connections are reset and new ones refused
    refusing, ///< connections go on, new ones are refused
    count
};

class severable_link
{
public:
    severable_link(event_loop &loop, http_endpoint target);
    ~severable_link();
    severable_link(const severable_link &) = delete;
    severable_link &operator=(const severable_link &) = delete;

    /// @returns the address at which the host reaches the target.
    [[nodiscard]] const http_endpoint &address() const { return m_address; }

    void cut(cut_form form);
    /// The connections open now hang; new ones are served.
    void hangConnections();
    /// Ends a cut. Connections that hung go on.
    void heal();

    std::size_t connections = 0; ///< accepted so far

private:
    struct pair;
    void listen(int backlog);
    void stopListening();
    void accept(int socket);
    void occupyBacklog();

    event_loop &m_loop;
    http_endpoint m_target;
    http_endpoint m_address;
    evconnlistener *m_listener = nullptr;
    int m_deafSocket = -1; ///< listens without accepting while the path is silent
    std::vector<std::unique_ptr<stream_socket>> m_fillers; ///< occupy the backlog of m_deafSocket
    std::vector<std::unique_ptr<pair>> m_pairs;
};

} // namespace foxtaildyke
