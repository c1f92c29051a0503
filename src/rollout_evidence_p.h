// Evidence on a version under evaluation: sequential tests of its responses against a baseline of the version in use.
// Addresses versions that fail or are slow on all routes or on one, at once or later.
#pragma once

#include "gateway_model_p.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace foxtaildyke
{

/// Response as evidence on the version that produced it.
struct version_response {
    std::string_view service;
    std::string_view version;
    std::string_view stratum; ///< group within which responses are comparable: route and model
    std::string_view replica;
    bool isFailure = false; ///< the replica responded with an error
    /// Time to the response, or between two events of a stream; a lower bound if the response has not ended. Unset: not
    /// measured. The time to the first event isn't used, as it depends more on cold prompt caches than on the version.
    std::optional<std::chrono::microseconds> latency;
};

/// Responses of the version in use within one stratum.
class version_baseline
{
public:
    void recordResponse(const version_response &response);

    [[nodiscard]] double failureRate() const { return m_failureRate; }

    /// @returns the latency above which a response is slow, or nothing if too few responses are known.
    [[nodiscard]] std::optional<std::chrono::microseconds> slowLimit() const;

    /// @returns the latency that at most half of the responses of a good version exceed, also if its replicas are more
    /// heavily loaded, or nothing if too few responses are known.
    [[nodiscard]] std::optional<std::chrono::microseconds> usualLimit() const;

private:
    /// @returns the kept latencies in ascending order; empty if there are too few.
    [[nodiscard]] std::vector<std::chrono::microseconds> sortedLatencies() const;

    /// A response is slow if its latency exceeds both multiples plus the margin: well above the range of the baseline
    /// even if the replicas of the new version are more heavily loaded.
    static constexpr double kSlowQuantileFactor = 1.5;
    static constexpr double kSlowMedianFactor = 2.5;
    static constexpr double kSlowQuantile = 0.9;
    static constexpr std::chrono::milliseconds kSlowMargin{20};
    /// A response is slower than usual if its latency exceeds the upper quartile and this multiple of the median.
    static constexpr double kUsualQuantile = 0.75;
    static constexpr double kUsualMedianFactor = 1.5;
    static constexpr std::chrono::milliseconds kUsualMargin{5};
    /// Widens the limit where the quantiles come from few latencies: they may be well below the true ones.
    static constexpr double kUncertaintyPerSample = 3;
    static constexpr std::size_t kWindow = 64; ///< latencies kept
    static constexpr std::size_t kMinLatencies = 5;
    static constexpr double kFailureWeight = 0.05; ///< of the newest response; covers about the last twenty

    double m_failureRate = 0; ///< exponentially weighted mean
    std::deque<std::chrono::microseconds> m_latencies; ///< of the last good responses
};

/// What the evidence says on a version.
enum class evidence_verdict : std::uint8_t { undecided, accepted, rejected, count };

template <>
struct enum_names<evidence_verdict> {
    static constexpr std::array kNames{"undecided", "accepted", "rejected"};
};

/// What one response says on a version.
struct response_rating {
    bool isBad = false; ///< a failure, or slow beyond anything that the version in use does
    double goodRate = 0; ///< failure rate expected of a good version
    std::optional<bool> isSlower; ///< than usual for the version in use; unset: not known
};

/// Sequential probability ratio tests of one version: CUSUMs that reject, over this host's responses per stratum and
/// over the responses of all hosts, and tests that accept, over the responses of all hosts. One pair of tests finds
/// responses that are bad by themselves; the other one finds a version whose responses are slower than usual, though
/// single ones of the version in use are as slow. Missing evidence leaves the verdict undecided, so a host that doesn't
/// receive the others' reports never accepts by their silence.
class rollout_evidence
{
public:
    /// @param isRelayed a relay adds the response to its own evidence, which this host then receives as that of a peer.
    void recordResponse(const version_response &response, const response_rating &rating, bool isRelayed);

    /// @returns the relayed responses since the last call.
    [[nodiscard]] rollout_report takeRelayed() { return std::exchange(m_relayed, {}); }

    /// Adds responses of another host, or of this one that no relay has taken, to this host's evidence.
    void absorb(const rollout_report &report);

    /// Replaces the evidence of another host. A report with fewer responses than the one before is that of a restarted
    /// host and adds to it.
    void setPeerReport(const std::string &host, const rollout_report &report);

    [[nodiscard]] evidence_verdict verdict() const;

    /// @returns this host's evidence; the order's fields are empty.
    [[nodiscard]] const rollout_report &own() const { return m_own; }
    [[nodiscard]] std::uint32_t responses() const { return m_responses; }
    [[nodiscard]] std::uint32_t badResponses() const { return m_badResponses; }
    [[nodiscard]] std::uint32_t peerResponses() const;

    /// Log-likelihood ratio at which a version is rejected.
    static constexpr double kRejectThreshold = 6.5;
    /// Log-likelihood ratio at which a version is accepted: a bad version reaches it with a probability of 5%.
    static constexpr double kAcceptThreshold = -3.0;
    /// Minimum failure rate assumed for a good version, and for a bad one.
    static constexpr double kGoodRate = 0.03;
    static constexpr double kBadRate = 0.3;
    /// Fraction of responses slower than usual that is still assumed of a good version, whose replicas may be loaded
    /// differently, and that of a slow one.
    static constexpr double kGoodSlowerRate = 0.5;
    static constexpr double kBadSlowerRate = 0.8;
    /// Number of responses, over all hosts, below which the pace can't be judged, as the version in use had few
    /// requests.
    static constexpr std::uint32_t kMinPacedResponses = 6;

private:
    using cusum_map = std::map<std::string, double, std::less<>>;

    static void addTo(cusum_map &cusums, const std::string &stratum, double ratio);
    void addReplicas(const rollout_report &report);
    /// Rejects the version if a CUSUM has reached the threshold and not only a single one of several replicas is bad.
    void updateRejection();

    rollout_report m_own; ///< responses of this host that aren't relayed, and those that it relays for others
    rollout_report m_relayed; ///< see takeRelayed()
    std::uint32_t m_responses = 0; ///< of this host
    std::uint32_t m_badResponses = 0;
    std::map<std::string, rollout_report> m_peers; ///< by host
    double m_ratio = 0; ///< sum of the log-likelihood ratios of all hosts' responses
    double m_paceRatio = 0; ///< see rollout_report
    cusum_map m_cusums; ///< by stratum, and of all hosts under the empty name; >= 0
    cusum_map m_paceCusums; ///< the same of the test on pace
    std::set<std::string> m_replicas; ///< all that responded, to any host
    std::set<std::string> m_badReplicas;
    std::set<std::string> m_slowerReplicas;
    bool m_isRejected = false;
};

} // namespace foxtaildyke
