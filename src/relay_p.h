// Relay tree: position of this host among the registered hosts, and the exchange with its parent and its children.
// Pure state machine: no I/O, no clock, no wire format. Section 5 of docs/design.md states the rules.
#pragma once

#include "freshness_p.h"
#include "relay_shared_p.h"

#include <functional>
#include <variant>

namespace foxtaildyke
{

/// The members that a host tries as its parent, best first.
struct parent_candidates {
    /// Ancestors; then the members that are lower by a power of two, lowest first, so that a part of the fleet that is
    /// cut off from all its ancestors becomes a tree of logarithmic depth and not a chain; then the others from the
    /// nearest one.
    std::vector<std::size_t> order;
    std::size_t firstRound = 0; ///< the first ones, asked at the same time: the ancestors and the powers of two
};

/// @param index of the host among the sorted members.
[[nodiscard]] parent_candidates parentCandidates(std::size_t index, std::size_t fanOut);

/// One bit for each registered host, in the order of fleet::hosts.
using host_bits = std::vector<bool>;

/// Vouches of several hosts for the generation of the message.
struct acknowledgement_set {
    host_bits members; ///< trailing false bits may be left out
    instant lag{}; ///< how long before the receipt of the echoed clock value the oldest of them was made
    bool operator==(const acknowledgement_set &) const = default;
};

/// Demand of client accounts in thousandths of requests per second.
using demand_map = std::map<std::string, std::uint64_t>;

/// @returns entries that differ from what the other side knows by more than one part in `divisor`, or at all where it
/// is 0; removed ones as 0.
[[nodiscard]] demand_map changedDemand(const demand_map &current, const demand_map &known, std::uint64_t divisor);

/// Configuration on its way to a host that lacks it: changes in order, or the whole document.
struct config_content {
    std::vector<std::string> changes; ///< JSON of one config_change each
    std::string document; ///< JSON of a config_document
    [[nodiscard]] bool isEmpty() const { return changes.empty() && document.empty(); }
    bool operator==(const config_content &) const = default;
};

/// From a child to its parent. Fields as in exchange_request of proto/peer.proto.
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

/// From a parent to its child. Fields as in exchange_reply of proto/peer.proto.
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

/// Identifies a call that this host made.
enum class call_token : std::uint64_t {};

/// Identifies a call that another host made and that waits for its answer.
enum class response_token : std::uint64_t {};

/// The owner has to call Exchange on a host and to hand the result to relay::handleResponse().
struct start_exchange {
    call_token call{};
    std::string host;
    exchange_call request;
    std::chrono::milliseconds timeout{};
};
/// The owner has to answer a call that it handed to relay::handleCall().
struct respond_to_exchange {
    response_token call{};
    exchange_response response;
};
using relay_action = std::variant<start_exchange, respond_to_exchange>;

/// The configuration as far as the relay needs it.
struct relay_members {
    std::vector<std::string> hosts; ///< registered hosts in the order of fleet::hosts
    std::chrono::milliseconds exchangePeriod{500};
    std::chrono::seconds quarantineLifetime{600};
};

/// What the relay needs from its owner.
struct relay_hooks {
    /// Decodes and adopts a configuration (freshness::adopt, relay::setMembers) before it returns.
    std::function<void(const config_content &)> adoptConfig;
    /// @returns what a host that holds this generation lacks; empty where it lacks nothing.
    std::function<config_content(generation_number)> configAfter;
};

class relay
{
public:
    static constexpr std::size_t kFanOut = 8;

    /// @param fresh shared with the owner; both outlive no callback.
    /// @param ownTally random number of this process.
    relay(std::string hostName, tally_id ownTally, freshness &fresh, relay_hooks hooks, std::size_t fanOut = kFanOut);

    /// Takes the members of the generation that `fresh` has just adopted.
    void setMembers(relay_members members, instant now);

    // What this host contributes.
    void addEvidence(const std::vector<shared_count> &delta);
    void setDemand(demand_map demand);
    void halt(const std::string &version, instant now);
    void addQuarantined(std::uint64_t fingerprint, instant now);

    // Exchange.
    void handleCall(response_token token, const exchange_call &call, instant now);
    void handleResponse(call_token token, const result<exchange_response> &answer, instant now);

    /// Drives the exchange; to be called at nextTimer() at the latest.
    void tick(instant now);
    [[nodiscard]] instant nextTimer() const;
    [[nodiscard]] std::vector<relay_action> takeActions();

    /// @returns whether this host has found no parent: it reads the store.
    [[nodiscard]] bool isRoot() const { return m_state == tree_state::root; }

    /// @returns whether the parent leaves this host without a fresh stamp: it reads the store as well, less often.
    [[nodiscard]] bool lacksFreshStamp(instant now) const;
    [[nodiscard]] const std::string &parent() const { return m_parent; }

    // What all hosts share.
    [[nodiscard]] const shared_state &shared() const { return m_shared; }

    /// @returns counts of the other hosts: the totals without what this host has contributed. They never shrink, so
    /// that a result is learnt once.
    [[nodiscard]] const std::map<count_key, count_values> &countsOfOthers();

    /// @returns which share of an account's limit this host may use; the shares of all hosts add up to one.
    [[nodiscard]] std::map<std::string, double> limitShares() const;

    /// @returns the registered hosts that hold the generation of this host, as one consistent observation of the root.
    [[nodiscard]] std::vector<std::string> acknowledgedHosts() const;
    [[nodiscard]] std::size_t acknowledgedCount() const;

private:
    enum class tree_state : std::uint8_t { root, searching, child };

    /// State kept for one child.
    struct child_state {
        link_number number = kNoLink;
        instant lastCallAt{};
        generation_number generation = 0; ///< of the last call
        instant issuedClock{}; ///< of the last answer
        instant issuedBefore{}; ///< of the answer before; two calls of a child may overlap
        std::uint64_t takenSequence = 0;
        demand_map demand;
        // What the answer at issuedClock brought, and what the child is known to have.
        update_sequence sentAcknowledged = 0;
        update_sequence knownAcknowledged = 0;
        demand_map sentTotals;
        demand_map knownTotals;
        // The call that waits, if any.
        std::optional<response_token> held;
        instant heldSince{};
        update_sequence seenUpdate = 0; ///< of the last call
        bool isUnknown = false;
    };
    /// State kept for the link to the parent.
    struct parent_link {
        link_number number = kNoLink;
        instant echo{}; ///< the parent's clock in its newest answer; 0 before the first
        instant echoReceivedAt{};
        update_sequence seenUpdate = 0;
        update_sequence confirmedNews = 0; ///< of this host's shared state, known to the parent
        generation_number generation = 0; ///< that the parent holds
        demand_map knownDemand;
    };
    /// A call that this host made.
    struct outgoing_call {
        std::string host;
        bool isProbe = false;
        link_number number = kNoLink;
        instant sentAt{};
        update_sequence sentNews = 0;
        demand_map sentDemand;
        bool hadConfig = false;
    };

    // Child side (relay.cpp).
    void driveCalls(instant now);
    void startCall(instant now);
    [[nodiscard]] exchange_call makeCall(instant now);
    [[nodiscard]] std::vector<acknowledgement_set> makeVouches(instant now) const;
    [[nodiscard]] delta_queue::delta nextDelta();
    void takeReply(const outgoing_call &sent, const exchange_response &answer, instant now);
    void takeStamp(const outgoing_call &sent, const exchange_response &answer);
    void takeAcknowledged(const exchange_response &answer);
    void restartLink();
    [[nodiscard]] std::size_t callsToParent() const;

    // Search for a parent (relay_search.cpp).
    void driveSearch(instant now);
    void startProbes(std::size_t first, std::size_t count, instant now);
    void takeProbeReply(const std::string &host, bool isEligible, instant now);
    void endProbes(instant now);
    void changeParent(const std::string &parent, instant now);
    void loseParent(instant now);
    [[nodiscard]] std::vector<std::string> candidates() const;
    [[nodiscard]] std::size_t firstRound() const;

    // Parent side (relay_children.cpp).
    void takeFromChild(child_state &from, const exchange_call &call, instant now);
    void takeVouches(const exchange_call &call);
    void takeConfig(const config_content &config, generation_number generation);
    void answerChild(child_state &to, instant now);
    void answerProbe(response_token token, instant now);
    void driveChildren(instant now);
    void releaseAll(instant now);
    [[nodiscard]] bool hasNewsFor(const child_state &to) const;
    [[nodiscard]] exchange_response makeAnswer(child_state &to, instant now);
    void settleAsRoot(instant now);
    void updateAcknowledged(instant now);
    void noteUrgent(instant now);
    [[nodiscard]] demand_map subtreeDemand() const;
    [[nodiscard]] std::uint64_t demandDivisor() const;

    [[nodiscard]] instant period() const { return m_members.exchangePeriod; }

    std::string m_host;
    freshness &m_fresh;
    relay_hooks m_hooks;
    std::size_t m_fanOut;
    relay_members m_members;
    std::optional<std::size_t> m_self; ///< index among the members
    link_number m_lastLink = kNoLink;

    // Shared state.
    shared_state m_shared;
    delta_queue m_deltas;
    std::map<count_key, count_values> m_contributed; ///< counts of this host since its start
    std::map<count_key, count_values> m_others; ///< never shrinks
    demand_map m_demand; ///< of this host
    demand_map m_totals; ///< of all hosts, or of the subtree where this host is a root
    update_sequence m_urgentNews = 0; ///< news up to which waiting calls are answered at once
    std::uint64_t m_ticks = 0; ///< exchange periods that have passed
    instant m_nextPeriodAt{};

    // Vouches and acknowledgements; both by member, for the held generation.
    std::vector<instant> m_vouchedAt;
    host_bits m_acknowledged;
    update_sequence m_acknowledgedNews = 1; ///< raised by each change of m_acknowledged
    bool m_reportsSubtree = false; ///< the parent still has to be told that the whole subtree holds the generation

    // Tree.
    tree_state m_state = tree_state::root;
    std::string m_parent; ///< empty unless m_state is child
    std::string m_betterParent; ///< to change to once no call to the parent is open
    parent_link m_link;
    std::map<std::string, child_state> m_children;
    std::map<call_token, outgoing_call> m_calls;
    std::uint64_t m_lastCall = 0;
    instant m_nextCallAt{};
    bool m_wantsCall = false; ///< there is news for the parent
    instant m_nextSearchAt{};
    std::size_t m_searchPosition = 0;
    std::map<std::string, bool> m_probeResults; ///< of the present round: whether the candidate can be the parent
    std::size_t m_openProbes = 0;
    std::vector<relay_action> m_actions;
};

} // namespace foxtaildyke
