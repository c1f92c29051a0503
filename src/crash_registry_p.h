// Requests that crash the replicas that run them. Records crashes by the traits of the requests (see
// crash_evidence_p.h), combines them with what the other hosts report, and blocks requests that would crash further
// replicas, so that their callers' retries, and other requests with the same prompt part, don't take down the rest of
// the service. No I/O, no clock.
#pragma once

#include "crash_evidence_p.h"
#include "gateway_model_p.h"

#include <unordered_set>

namespace foxtaildyke
{

class crash_registry
{
public:
    /// @param host name of this host, under which its reports are stored.
    explicit crash_registry(std::string host);

    /// @returns the id of the end of a replica; equal on all hosts, and different after a restart under the same id.
    [[nodiscard]] static std::uint64_t crashId(const replica_entry &replica);

    /// Records that a replica ended while it ran a request.
    /// @returns whether this host didn't know of the crash yet.
    bool recordCrash(std::uint64_t fingerprint, std::uint64_t crash, instant now);

    /// Records that a replica ended before it had survived the beginning of a response to a request with these shared
    /// prompt parts.
    /// @param isResponding whether the replica had begun to respond.
    void recordPartCrash(std::span<const std::uint64_t> parts, std::uint64_t crash, bool isResponding, instant now);

    /// Records that a replica has responded to a request, which rules the request out as the cause of crashes.
    void recordResponse(std::uint64_t fingerprint, instant now);

    /// Records that a replica has survived the beginning of a response to a request with these shared prompt parts,
    /// which rules them out as the cause of the crashes so far. A part may still begin to crash replicas later.
    void recordBegun(std::span<const std::uint64_t> parts, instant now);

    /// Withdraws crashes that this host has recorded: the replicas have not ended.
    void withdrawCrashes(const std::set<std::uint64_t> &crashes, instant now);

    /// Delays storing a report on a request while it is retried on this host, which may show that it isn't the cause.
    /// Each call must be followed by one of releaseReport().
    void holdReport(std::uint64_t fingerprint) { ++m_heldReports[fingerprint]; }
    void releaseReport(std::uint64_t fingerprint, instant now);

    /// Replaces the stored reports of all hosts. Those that an earlier process of this host stored are adopted.
    void setStoredReports(const crash_reports_by_host &reports, instant now);

    /// @param traits fingerprint and shared prompt parts of a request.
    /// @returns the trait for which the request is blocked; nothing if it may be sent to a replica.
    [[nodiscard]] std::optional<crash_block> findBlock(std::span<const std::uint64_t> traits, instant now) const
    {
        return m_evidence.findBlock(traits, now);
    }

    /// Allows one request with a blocked part to be sent, so that its response can show that the part isn't the cause.
    /// The hosts take turns, and a part is no longer tried once replicas have ended while they responded to it.
    [[nodiscard]] bool tryConsumeTrial(std::uint64_t part, instant now);

    /// @returns the traits that cause requests to be blocked.
    [[nodiscard]] std::set<std::uint64_t> blocked(instant now) const { return m_evidence.blocked(now); }

    /// @returns whether a trait with crashes is a prompt part.
    [[nodiscard]] bool isPart(std::uint64_t trait) const;

    /// @returns the number of crashes reported by all hosts.
    [[nodiscard]] std::size_t crashes(std::uint64_t trait) const;

    /// Drops reports whose lifetime has ended. To be called from time to time.
    void expire(instant now);

    /// @returns this host's reports, as they are to be stored.
    [[nodiscard]] std::vector<crash_report> ownReports() const;

    /// @returns whether the stored reports of this host have been read. Until then, storing would replace them.
    [[nodiscard]] bool hasAdopted() const { return m_hasAdopted; }

    /// @returns this host's reports if they have changed and are due to be stored. If there are none left, the stored
    /// ones must be removed.
    [[nodiscard]] std::optional<std::vector<crash_report>> takeUnpublished(instant now);

    /// Called when storing the reports returned by takeUnpublished() has failed; they are returned again later.
    void recordPublishFailure();

    /// @returns hosts whose stored reports have all expired long ago, because the host is gone.
    [[nodiscard]] std::vector<std::string> abandonedHosts(instant now) const;

    /// Number of replicas that requests with a trait may crash before they are blocked.
    static constexpr std::size_t kCrashLimit = 3;
    /// The same for a prompt part, if the replicas had begun to respond to these requests.
    static constexpr std::size_t kRespondingCrashLimit = 2;
    /// Number of replicas for a prompt part to which replicas have responded before, ...
    static constexpr std::size_t kProvenCrashLimit = 5;
    /// ... and the time that these crashes must span, as many replicas may end at once for another reason.
    static constexpr std::chrono::seconds kProvenMinSpan{1};
    /// Number of crashes while the replicas were responding at which a part is no longer tried.
    static constexpr std::size_t kCertainCrashes = 3;
    /// Time from the last crash of a blocked part to the first host's trial, ...
    static constexpr std::chrono::seconds kTrialDelay{10};
    /// ... and to that of each further host: enough for the hosts to know how the trial before ended.
    static constexpr std::chrono::milliseconds kTrialSpacing{1500};
    /// Maximum number of crashes that a host reports for one trait.
    static constexpr std::size_t kMaxCrashesPerTrait = 8;
    /// The same for the crashes of other hosts that it rules out.
    static constexpr std::size_t kMaxRuledOut = 32;
    /// Time for which a report counts.
    static constexpr std::chrono::seconds kLifetime{600};
    /// Delay of a report, so that one write covers all requests that were running on a crashed replica.
    static constexpr std::chrono::milliseconds kPublishDelay{300};
    /// Delay of a change that only withdraws reports.
    static constexpr std::chrono::seconds kWithdrawDelay{10};
    /// Minimum time between two reports of this host; together with the delay well below the time in which the users
    /// expect the hosts to agree (3 s).
    static constexpr std::chrono::milliseconds kPublishInterval{1000};
    /// Maximum number of traits that a host reports; the oldest reports with the fewest crashes are dropped.
    static constexpr std::size_t kMaxReports = 256;
    /// Number of recently answered traits that are remembered, at least.
    static constexpr std::size_t kMinAnswered = 4096;

private:
    struct known_report {
        crash_report report;
        instant since{}; ///< of the last change, on this host's clock
    };
    using report_map = std::map<std::uint64_t, known_report>; ///< by trait
    using trait_set = std::unordered_set<std::uint64_t>;

    [[nodiscard]] report_map &own() { return m_reports[m_host]; }
    [[nodiscard]] bool isAnswered(std::uint64_t trait) const;
    void rememberAnswered(std::uint64_t trait);
    [[nodiscard]] bool isPublished(std::uint64_t trait) const;
    [[nodiscard]] known_report &addReport(std::uint64_t trait, instant now);
    [[nodiscard]] bool addCrash(known_report &known, std::uint64_t crash, instant now);
    void adopt(std::vector<crash_report> stored, instant now);
    void exonerate(std::uint64_t fingerprint, instant now);
    void ruleOut(std::uint64_t part, instant now);
    /// Schedules the storing of this host's reports.
    void schedulePublish(std::chrono::milliseconds delay, instant now);
    /// Combines the reports of all hosts on one trait.
    void combine(std::uint64_t trait, instant now);
    void combineAll(instant now);
    /// Sets the numbers of crashes at which requests with the trait are blocked.
    void setLimits(trait_crashes &combined) const;

    std::string m_host;
    bool m_hasAdopted = false; ///< the stored reports of this host have been read
    std::map<std::string, report_map> m_reports; ///< by host; expired reports of other hosts stay while they are stored
    crash_evidence m_evidence; ///< unexpired reports of all hosts
    std::unordered_map<std::uint64_t, trait_set> m_ruledOut; ///< by part: crashes that other hosts report; not stored
    std::unordered_map<std::uint64_t, instant> m_seenAt; ///< by crash: when this host learned of it
    std::unordered_map<std::uint64_t, instant> m_trialAt; ///< by part: this host's last trial
    /// Answered traits in two generations; when the newer one is full, it replaces the older one.
    trait_set m_answered;
    trait_set m_answeredBefore;
    std::unordered_map<std::uint64_t, std::uint32_t>
        m_heldReports; ///< by fingerprint: number of requests being retried
    std::optional<instant> m_publishDueAt; ///< unset: nothing has changed since the last takeUnpublished()
    instant m_publishedAt{}; ///< last takeUnpublished() with a result
    std::vector<crash_report> m_published; ///< own reports as the store contains them, ordered by trait
    bool m_hasPublishFailed = false; ///< the store may contain other reports than m_published
};

} // namespace foxtaildyke
