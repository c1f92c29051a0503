// Relay tree: the position of this host among the registered hosts, and the exchange with its parent and children.
// A state machine without I/O, clock or wire format. Section 5 of docs/design.md specifies the protocol.
#pragma once

#include "freshness_p.h"
#include "relay_shared_p.h"

#include <functional>
#include <variant>

namespace foxtaildyke
{

/// Members that a host probes for a parent, in order of preference.
struct parent_candidates {
    /// The ancestors; then the members whose index is lower by a power of two, lowest first, so that hosts partitioned
    /// from all their ancestors form a tree of logarithmic depth instead of a chain; then the others, nearest first.
    std::vector<std::size_t> order;
    std::size_t firstRoundSize = 0; ///< entries probed in parallel first: the ancestors and the powers of two
};

/// @param index position of the host among the sorted members.
[[nodiscard]] parent_candidates parentCandidates(std::size_t index, std::size_t fanOut);

/// One bit per registered host, in the order of router_config::hosts.
using host_bits = std::vector<bool>;

/// Acknowledgements by several hosts of the generation in the message.
struct acknowledgement_set {
    host_bits members; ///< trailing false bits may be omitted
    instant lag{}; ///< time from the oldest acknowledgement to the receipt of the echoed clock value
    bool operator==(const acknowledgement_set &) const = default;
};

/// Demand per client account in thousandths of a request per second.
using demand_map = std::map<std::string, std::uint64_t>;

/// @param known values that the other side has already received.
/// @returns the entries that differ from the known values by more than 1/divisor, or by any amount if divisor is 0.
/// Removed entries are returned as 0.
[[nodiscard]] demand_map changedDemand(const demand_map &current, const demand_map &known, std::uint64_t divisor);

/// Configuration sent to a host that lacks it: the changes in order, or the whole document.
struct config_content {
    std::vector<std::string> changes; ///< each one a config_change as JSON
    std::string document; ///< a config_document as JSON
    [[nodiscard]] bool isEmpty() const { return changes.empty() && document.empty(); }
    bool operator==(const config_content &) const = default;
};

/// Request of a child to its parent. The fields match exchange_request in proto/peer.proto.
struct exchange_call {
    std::string host;
    generation_number generation = 0;
    instant echoedClock{};
    std::vector<acknowledgement_set> acknowledgements;
    std::uint64_t deltaSequence = 0;
    std::vector<shared_count> delta;
    shared_updates shared;
    demand_map demand;
    update_sequence seenUpdate = 0;
    bool isProbe = false;
    config_content config;
};

/// Response of a parent to its child. The fields match exchange_reply in proto/peer.proto.
struct exchange_response {
    generation_number generation = 0;
    instant clock{};
    instant waitTime{};
    std::optional<instant> stampAge;
    config_content config;
    std::uint64_t appliedDeltaSequence = 0;
    shared_updates shared;
    demand_map demandTotals;
    std::optional<host_bits> acknowledged;
    update_sequence lastUpdate = 0;
    bool isUnknownChild = false;
};

/// Identifies an outgoing call.
enum class call_token : std::uint64_t {};

/// Identifies an incoming call that awaits its response.
enum class response_token : std::uint64_t {};

/// Requests that the owner call Exchange on a host and pass the result to relay::handleResponse().
struct start_exchange {
    call_token call{};
    std::string host;
    exchange_call request;
    std::chrono::milliseconds timeout{};
};
/// Requests that the owner respond to a call that it passed to relay::handleCall().
struct respond_to_exchange {
    response_token call{};
    exchange_response response;
};
using relay_action = std::variant<start_exchange, respond_to_exchange>;

/// The part of the configuration that the relay uses.
struct relay_members {
    std::vector<std::string> hosts; ///< registered hosts in the order of router_config::hosts
    std::chrono::milliseconds exchangePeriod{500};
    std::chrono::seconds quarantineLifetime{600};
};

/// Callbacks of the relay into its owner.
struct relay_hooks {
    /// Decodes and adopts a configuration synchronously (freshness::adopt, relay::setMembers).
    std::function<void(const config_content &)> adoptConfig;
    /// @returns the configuration newer than the given generation; empty if there is none.
    std::function<config_content(generation_number)> configAfter;
};

class relay
{
public:
    static constexpr std::size_t kFanOut = 8;

    /// @param ownTally random number that identifies this process.
    /// @param fresh shared with the owner. The hooks must stay callable as long as this object and `fresh` exist.
    relay(std::string hostName, tally_id ownTally, freshness &fresh, relay_hooks hooks, std::size_t fanOut = kFanOut);

    /// Applies the members of the generation that `fresh` has just adopted.
    void setMembers(relay_members members, instant now);

    // Contributions of this host.
    void addEvidence(const std::vector<shared_count> &delta);
    void setDemand(demand_map demand);
    void halt(const std::string &version, instant now);
    void addQuarantined(std::uint64_t fingerprint, instant now);
    /// Unlike a quarantine, a single crash is sent with the next regular exchange.
    void addCrashed(std::uint64_t fingerprint, instant now) { m_shared.addCrashed(fingerprint, now); }

    // Exchange.
    void handleCall(response_token token, const exchange_call &call, instant now);
    void handleResponse(call_token token, const result<exchange_response> &response, instant now);

    /// Runs all due work; must be called no later than nextTimer().
    void tick(instant now);
    [[nodiscard]] instant nextTimer() const;
    [[nodiscard]] std::vector<relay_action> takeActions();

    /// @returns whether this host has no parent and therefore reads the store.
    [[nodiscard]] bool isRoot() const { return m_state == tree_state::root; }

    /// @returns whether the parent provides no fresh stamp, so that this host reads the store too, at a lower rate.
    [[nodiscard]] bool lacksFreshStamp(instant now) const;
    [[nodiscard]] const std::string &parent() const { return m_parent; }

    // State shared by all hosts.
    [[nodiscard]] const shared_state &shared() const { return m_shared; }

    /// @returns the counts of the other hosts: the totals minus the contribution of this host. They never decrease, so
    /// that the caller can add the increase since its last call to its own totals.
    [[nodiscard]] const std::map<count_key, count_values> &countsOfOthers();

    /// @returns the share of each account's limit that this host may use; the shares of all hosts add up to one.
    [[nodiscard]] std::map<std::string, double> limitShares() const;

    /// @returns the registered hosts that hold the generation of this host, as last reported by the root.
    [[nodiscard]] std::vector<std::string> acknowledgedHosts() const;
    [[nodiscard]] std::size_t acknowledgedCount() const;

private:
    enum class tree_state : std::uint8_t { root, searching, child };

    /// State of one child.
    struct child_state {
        link_number number = kNoLink;
        instant lastCallAt{};
        generation_number generation = 0; ///< of the last call
        instant issuedClock{}; ///< in the latest response
        instant issuedBefore{}; ///< in the response before it; two calls of a child may overlap
        std::uint64_t appliedSequence = 0;
        demand_map demand;
        // What the response at issuedClock contained, and what the child is known to have received.
        update_sequence sentAcknowledgedRevision = 0;
        update_sequence knownAcknowledgedRevision = 0;
        demand_map sentTotals;
        demand_map knownTotals;
        // The call that awaits its response, if any.
        std::optional<response_token> waitingCall;
        instant waitingSince{};
        update_sequence seenUpdate = 0; ///< of the last call
        bool isUnknown = false;
    };
    /// State of the link to the parent.
    struct parent_link {
        link_number number = kNoLink;
        instant echo{}; ///< the parent's clock in its latest response; 0 before the first one
        instant echoReceivedAt{};
        update_sequence seenUpdate = 0;
        update_sequence confirmedUpdate = 0; ///< last update of this host's shared state that the parent has
        generation_number generation = 0; ///< held by the parent
        demand_map knownDemand;
    };
    /// An outgoing call without a response so far.
    struct outgoing_call {
        std::string host;
        bool isProbe = false;
        link_number number = kNoLink;
        instant sentAt{};
        update_sequence sentUpdate = 0;
        demand_map sentDemand;
        bool hadConfig = false;
    };

    // Child side (relay.cpp).
    void startDueCalls(instant now);
    void startCall(instant now);
    [[nodiscard]] exchange_call makeCall(instant now);
    [[nodiscard]] std::vector<acknowledgement_set> makeAcknowledgements(instant now) const;
    [[nodiscard]] delta_queue::delta nextDelta();
    void handleParentResponse(const outgoing_call &sent, const exchange_response &response, instant now);
    void applyStamp(const outgoing_call &sent, const exchange_response &response);
    void applyAcknowledged(const exchange_response &response);
    void restartLink();
    [[nodiscard]] std::size_t callsToParent() const;

    // Search for a parent (relay_search.cpp).
    void startDueProbes(instant now);
    void startProbes(std::size_t first, std::size_t count, instant now);
    void handleProbeResponse(const std::string &host, bool isEligible, instant now);
    void finishProbeRound(instant now);
    void changeParent(const std::string &parent, instant now);
    void dropParent(instant now);
    [[nodiscard]] std::vector<std::string> candidates() const;
    [[nodiscard]] std::size_t firstRoundSize() const;

    // Parent side (relay_children.cpp).
    void applyChildCall(child_state &child, const exchange_call &call, instant now);
    void applyAcknowledgements(const exchange_call &call);
    void applyConfig(const config_content &config, generation_number generation);
    void respondToChild(child_state &child, instant now);
    void respondToProbe(response_token token, instant now);
    void respondToDueChildren(instant now);
    void respondToAllChildren(instant now);
    [[nodiscard]] bool needsEarlyResponse(const child_state &child) const;
    [[nodiscard]] exchange_response makeResponse(child_state &child, instant now);
    void updateAsRoot(instant now);
    void updateAcknowledged(instant now);
    void propagateUrgentUpdate(instant now);
    [[nodiscard]] demand_map subtreeDemand() const;
    [[nodiscard]] std::uint64_t demandDivisor() const;

    [[nodiscard]] instant period() const { return m_members.exchangePeriod; }

    std::string m_host;
    freshness &m_fresh;
    relay_hooks m_hooks;
    std::size_t m_fanOut;
    relay_members m_members;
    std::optional<std::size_t> m_selfIndex; ///< index among the members
    link_number m_lastLink = kNoLink;

    // Shared state.
    shared_state m_shared;
    delta_queue m_deltas;
    std::map<count_key, count_values> m_contributed; ///< counts of this host since its start
    std::map<count_key, count_values> m_countsOfOthers; ///< never decreases
    demand_map m_demand; ///< of this host
    demand_map m_demandTotals; ///< of all hosts; on a root, of its subtree
    update_sequence m_urgentUpdate = 0; ///< calls that have not seen this update get a response at once
    std::uint64_t m_ticks = 0; ///< elapsed exchange periods
    instant m_nextPeriodAt{};

    // Acknowledgements of the adopted generation, indexed by member.
    std::vector<instant> m_acknowledgedAt;
    host_bits m_acknowledged;
    update_sequence m_acknowledgedRevision = 1; ///< incremented by each change of m_acknowledged
    bool m_isSubtreeReportDue = false; ///< whether to report to the parent once the whole subtree holds the generation

    // Tree.
    tree_state m_state = tree_state::root;
    std::string m_parent; ///< empty unless m_state is child
    std::string m_preferredParent; ///< parent to change to once all counts sent to the present one are confirmed
    parent_link m_link;
    std::map<std::string, child_state> m_children;
    std::map<call_token, outgoing_call> m_calls;
    std::uint64_t m_lastCallToken = 0;
    instant m_nextCallAt{};
    bool m_isCallDue = false; ///< whether to call the parent before the next period
    instant m_nextSearchAt{};
    std::size_t m_nextCandidate = 0;
    std::map<std::string, bool> m_probeResults; ///< in the current round: whether the candidate can be the parent
    std::size_t m_openProbes = 0;
    std::vector<relay_action> m_actions;
};

} // namespace foxtaildyke
