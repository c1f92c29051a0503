// Requests that crash the replicas that run them. Combines what all hosts report about such requests, and blocks a
// request that has crashed several replicas, so that its caller's retries don't take down the rest of the service. No
// I/O, no clock.
#pragma once

#include "gateway_model_p.h"

#include <set>
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

    /// Records that a replica has responded to a request, which rules the request out as the cause of crashes.
    void recordResponse(std::uint64_t fingerprint, instant now);

    /// Delays storing a report on a request while it is retried on this host, which may show that it isn't the cause.
    /// Each call must be followed by one of releaseReport().
    void holdReport(std::uint64_t fingerprint) { ++m_heldReports[fingerprint]; }
    void releaseReport(std::uint64_t fingerprint, instant now);

    /// Replaces the stored reports of all hosts. Those that an earlier process of this host stored are adopted.
    void setStoredReports(const crash_reports_by_host &reports, instant now);

    /// @returns the time until the request may be sent to a replica again; nothing if it isn't blocked.
    [[nodiscard]] std::optional<std::chrono::milliseconds> blockedFor(std::uint64_t fingerprint, instant now) const;

    /// @returns the fingerprints of all blocked requests.
    [[nodiscard]] std::set<std::uint64_t> blocked(instant now) const;

    /// @returns the number of crashes reported by all hosts.
    [[nodiscard]] std::size_t crashes(std::uint64_t fingerprint) const;

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

    /// Number of replicas that a request may crash before it is blocked.
    static constexpr std::size_t kCrashLimit = 3;
    /// Time for which a report counts.
    static constexpr std::chrono::seconds kLifetime{600};
    /// Delay of a report, so that one write covers all requests that were running on a crashed replica.
    static constexpr std::chrono::milliseconds kPublishDelay{500};
    /// Delay of a change that only withdraws reports.
    static constexpr std::chrono::seconds kWithdrawDelay{10};
    /// Minimum time between two reports of this host; together with the delay well below the time in which the users
    /// expect the hosts to agree (3 s).
    static constexpr std::chrono::milliseconds kPublishInterval{1500};
    /// Maximum number of requests that a host reports; the oldest reports with the fewest crashes are dropped.
    static constexpr std::size_t kMaxReports = 256;
    /// Number of recently answered requests that are remembered, at least.
    static constexpr std::size_t kMinAnswered = 4096;

private:
    struct known_report {
        crash_report report;
        instant since{}; ///< of the last change, on this host's clock
    };
    using report_map = std::map<std::uint64_t, known_report>; ///< by fingerprint

    /// Combined reports of all hosts on one request.
    struct summary {
        std::set<std::uint64_t> crashes;
        bool wasAnswered = false;
        instant expiresAt{};
    };

    [[nodiscard]] report_map &own() { return m_reports[m_host]; }
    [[nodiscard]] bool isAnswered(std::uint64_t fingerprint) const;
    [[nodiscard]] bool isPublished(std::uint64_t fingerprint) const;
    [[nodiscard]] static known_report &addReport(report_map &reports, std::uint64_t fingerprint, instant now);
    void adopt(std::vector<crash_report> stored, instant now);
    void exonerate(std::uint64_t fingerprint, instant now);
    /// Recomputes the combined reports, and schedules the storing of this host's reports.
    void applyChange(std::chrono::milliseconds delay, instant now);
    void summarize(instant now);

    std::string m_host;
    bool m_hasAdopted = false; ///< the stored reports of this host have been read
    std::map<std::string, report_map> m_reports; ///< by host; expired reports of other hosts stay while they are stored
    std::unordered_map<std::uint64_t, summary> m_summaries; ///< by fingerprint; unexpired reports only
    /// Answered requests in two generations; when the newer one is full, it replaces the older one.
    std::unordered_set<std::uint64_t> m_answered;
    std::unordered_set<std::uint64_t> m_answeredBefore;
    std::unordered_map<std::uint64_t, std::uint32_t>
        m_heldReports; ///< by fingerprint: number of requests being retried
    std::optional<instant> m_publishDueAt; ///< unset: nothing has changed since the last takeUnpublished()
    instant m_publishedAt{}; ///< last takeUnpublished() with a result
    std::vector<crash_report> m_published; ///< own reports as the store contains them, ordered by fingerprint
    bool m_hasPublishFailed = false; ///< the store may contain other reports than m_published
};

} // namespace foxtaildyke
