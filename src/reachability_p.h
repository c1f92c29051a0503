// Tells a host that has lost its own path to the replicas from replicas that fail, without I/O. A host infers the
// health of a replica from its own connections, so a failure is attributed to a replica only once the host has reached
// another one of the service since. If it reaches none of them, it is cut off from the service.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace foxtaildyke
{

/// What proves that the host reaches the replicas of a service.
enum class contact_kind : std::uint8_t {
    any, ///< bytes of a response, or a new connection
    connection, ///< a new connection: connections that are kept may live on while new ones are refused
    count
};

class reachability
{
public:
    using action = std::function<void()>;

    /// Records a connection that was established. @param startedAt beginning of the attempt to connect.
    void recordConnected(const std::string &service, instant startedAt, instant now);

    /// Records bytes of a response.
    void recordReceived(const std::string &service, instant now);

    /// Records an attempt to connect that was refused or has timed out.
    void recordConnectFailure(const std::string &service, const std::string &replica, instant startedAt, instant now);

    /// Records that an attempt has waited for its response since `sentAt` without a byte.
    void recordSilence(const std::string &service, instant sentAt);

    /// Attributes a failure to a replica: runs `blame` once there is a contact with the service after `since`, at once
    /// if there has been one. It is discarded if the host's cut is confirmed, and after kMaxDeferral.
    void attribute(const std::string &service, contact_kind needed, instant since, instant now, action blame);

    /// @returns whether connections to other replicas should be tried, because it is open whether the host reaches the
    /// service.
    [[nodiscard]] bool isProbeDue(const std::string &service, instant now) const;

    /// @returns the services for which isProbeDue() holds.
    [[nodiscard]] std::vector<std::string> servicesToProbe(instant now) const;

    /// Records that a round of probes has begun.
    void recordProbe(const std::string &service, instant now);

    /// Judges whether the host is cut off from a service, after attempts to connect have failed or the replicas have
    /// changed.
    /// @param replicas ids of the service's replicas.
    /// @returns whether the host is cut off and wasn't before.
    bool judge(const std::string &service, const std::vector<std::string> &replicas, instant now);

    /// Records that a replica has started: failures to connect to it before say nothing.
    void recordReplicaStarted(const std::string &service, const std::string &replica);

    /// Records that another host has reached the service since this one is cut off. Failures whose attribution is open,
    /// and those until the end of the cut, are discarded.
    /// @returns the number of failures discarded now.
    std::size_t confirmCutOff(const std::string &service);

    /// @returns whether no attempt to connect to the service's replicas succeeds.
    [[nodiscard]] bool isCutOff(const std::string &service) const;

    /// @returns whether connecting has failed without a contact since, and the verdict is open.
    [[nodiscard]] bool isInDoubt(const std::string &service) const;

    /// @returns whether the host has been cut off for so short a time that it doesn't know yet who could help.
    [[nodiscard]] bool isNewlyCutOff(const std::string &service, instant now) const;

    /// @returns the beginning of the first failed attempt to connect since the last one that succeeded.
    [[nodiscard]] std::optional<instant> failingSince(const std::string &service) const;

    /// @returns whether kept connections work although the host is cut off: bytes have arrived since it was.
    [[nodiscard]] bool hasLiveConnections(const std::string &service, instant now) const;

    /// @returns the last contact of any kind.
    [[nodiscard]] std::optional<instant> lastContact(const std::string &service) const;

    /// @returns whether connecting to the replica has failed since the last connection that succeeded.
    [[nodiscard]] bool hasFailed(const std::string &service, const std::string &replica) const;

    /// @returns the services from which the host is cut off.
    [[nodiscard]] std::vector<std::string> cutOffServices() const;

    /// Discards failures that have waited for too long. @returns their number.
    std::size_t expire(instant now);

    /// Time without a byte after which a response counts as silent. The slowest plain calls take half of this; a prompt
    /// that takes longer costs a probe if no other response arrives meanwhile.
    static constexpr std::chrono::milliseconds kSilence{500};
    /// Time for which a contact is awaited before probes are sent: on a busy host the next response arrives earlier.
    static constexpr std::chrono::milliseconds kProbeDelay{30};
    /// Interval between rounds of probes while the host is cut off.
    static constexpr std::chrono::milliseconds kProbeInterval{500};
    /// Time in which other hosts state what they reach, after this one has found that it is cut off.
    static constexpr std::chrono::milliseconds kVerdictTime{400};
    /// Replicas to which connecting must have failed for the host to be cut off, if the service has as many.
    static constexpr std::size_t kReplicasToJudge = 5;
    /// Replicas to which connecting has failed at which a probe is due although responses arrive on other connections.
    static constexpr std::size_t kFailuresToProbe = 3;
    /// Time for which the attribution of a failure may stay open. Replicas that have ended are back by then.
    static constexpr std::chrono::seconds kMaxDeferral{30};
    /// Maximum number of open failures per service; further ones are discarded.
    static constexpr std::size_t kMaxDeferred = 256;

private:
    struct deferred_failure {
        contact_kind needed = contact_kind::any;
        instant since{};
        instant at{};
        action blame;
    };
    struct service_state {
        std::optional<instant> connectedAt; ///< last connection established
        std::optional<instant> contactAt; ///< that, or last bytes received
        std::optional<instant> failingSince; ///< see failingSince()
        std::optional<instant> silentSince; ///< when the attempt was sent that has no response; unset after a contact
        std::optional<instant> probedAt; ///< beginning of the last round of probes
        std::set<std::string> failed; ///< replicas to which connecting has failed since connectedAt
        std::vector<deferred_failure> deferred;
        bool isCutOff = false;
        instant cutOffAt{}; ///< when that was found
        bool isConfirmed = false; ///< see confirmCutOff()
    };

    [[nodiscard]] const service_state *find(const std::string &service) const;
    /// Runs the deferred actions for which there has been a contact.
    static void release(service_state &state);
    [[nodiscard]] static bool hasContactSince(const service_state &state, contact_kind needed, instant since);
    [[nodiscard]] static std::optional<instant> doubtSince(const service_state &state);
    /// @returns whether connecting has failed and there has been no contact since.
    [[nodiscard]] static bool hasLostContact(const service_state &state);

    std::map<std::string, service_state, std::less<>> m_services;
};

} // namespace foxtaildyke
