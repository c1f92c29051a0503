// What the other hosts put on the replicas, from the reports that hosts send each other. Reports are hints for placing:
// a host that hears nobody decides by its own requests. Load answered: several hosts that choose among the same
// replicas at the same time.
#pragma once

#include "replica_table_p.h"

#include <map>

namespace foxtaildyke
{

/// Report of one host.
struct load_report {
    std::string address; ///< IP address of the sender
    std::uint64_t sequence = 0; ///< grows with each report of a process
    std::uint64_t process = 0; ///< drawn at the start of the sender's process
    std::vector<std::string> peers; ///< hosts that the sender has heard
    std::vector<replica_load> loads;
};

/// @returns the report as CBOR.
[[nodiscard]] std::string encodeReport(const load_report &report);

/// @returns error_code::protocol_violation where the bytes are no report.
[[nodiscard]] result<load_report> decodeReport(std::string_view bytes);

class peer_loads
{
public:
    /// @param address own IP address; own reports that come back are ignored.
    /// @param seeds hosts to begin with.
    peer_loads(std::string address, std::vector<std::string> seeds);

    /// Takes a report; an older one than the last of the same process is ignored.
    void take(const load_report &report, instant now);

    /// @returns the sums of what the other hosts put on each replica. A backlog shrinks with the age of its report, as
    /// the engines read on.
    [[nodiscard]] std::vector<replica_load> sums(instant now) const;

    /// @returns hosts to send the next report to: those heard lately and named by them, at most kMostTargets in turn,
    /// and now and then the seeds.
    [[nodiscard]] std::vector<std::string> targets(instant now);

    /// @returns hosts heard lately.
    [[nodiscard]] std::vector<std::string> heard(instant now) const;

    /// Age at which a report says nothing more: about ten reports.
    static constexpr std::chrono::milliseconds kReportLife{1000};
    /// Time for which a host that is not heard is still sent to.
    static constexpr std::chrono::seconds kPeerLife{5};
    /// Reports sent at a time. With more hosts than this each of them hears from a host less often.
    static constexpr std::size_t kMostTargets = 16;
    static constexpr std::chrono::seconds kSeedInterval{1};

private:
    struct peer {
        load_report last;
        instant heardAt{};
        instant namedAt{}; ///< last time that another host named it, or it was heard
    };

    std::string m_address;
    std::vector<std::string> m_seeds;
    std::map<std::string, peer> m_peers; ///< by address
    std::size_t m_turn = 0; ///< first target of the next round
    std::optional<instant> m_seedsAt; ///< last time the seeds were among the targets
};

} // namespace foxtaildyke
