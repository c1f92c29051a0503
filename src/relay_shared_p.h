// State that all hosts share through the relay tree: counts of evidence and estimates, halted versions, quarantined
// fingerprints. Every part is merged so that a repeated or reordered message changes nothing. Pure: no I/O, no clock.
#pragma once

#include "evidence_p.h"

#include <array>
#include <functional>
#include <map>
#include <tuple>

namespace foxtaildyke
{

/// What counts are about: a version's evidence (empty kind), or the estimate of a kind and version.
struct count_key {
    std::string kind;
    std::string version;
    auto operator<=>(const count_key &) const = default; // NOLINT(modernize-use-nullptr): a false positive
};

/// Counts of one key: passed, failed, dispatched, settled. An estimate uses the first two as met and missed.
using count_values = std::array<std::uint64_t, 4>;

struct shared_count {
    count_key key;
    count_values values{};
    bool operator==(const shared_count &) const = default;
};

/// Identifies what one root process has summed up.
using tally_id = std::uint32_t;

struct shared_tally {
    tally_id root = 0;
    std::vector<shared_count> counts;
    bool operator==(const shared_tally &) const = default;
};

/// Part of the shared state that one side of a link sends to the other.
struct shared_updates {
    std::vector<shared_tally> tallies;
    std::vector<std::string> haltedVersions;
    std::vector<std::uint64_t> quarantined;
    [[nodiscard]] bool isEmpty() const { return tallies.empty() && haltedVersions.empty() && quarantined.empty(); }
};

/// Position in the order of changes of one host's shared state.
using update_sequence = std::uint64_t;

/// Which link an item came over; it is not sent back over the same link.
using link_number = std::uint64_t;
inline constexpr link_number kNoLink = 0;

class shared_state
{
public:
    explicit shared_state(tally_id ownTally);

    /// Limits how often a growing count is sent on: a tally is news again only after it grew by this fraction.
    /// @param divisor 0 makes every growth news.
    void setDamping(std::uint32_t divisor) { m_dampingDivisor = divisor; }

    /// Makes news of all growth that was held back.
    void announceAll();

    /// Adds to the counts of this host as root.
    void addToOwnTally(const std::vector<shared_count> &delta);

    /// Takes what the other side of a link sent.
    /// @returns whether a halt or a quarantine was new.
    bool merge(const shared_updates &news, link_number link, instant now);

    bool halt(const std::string &version);
    bool addQuarantined(std::uint64_t fingerprint, instant now);

    /// Forgets fingerprints that were learnt before a time.
    void expireQuarantined(instant before);

    /// @returns what changed after `seen` and did not come over `link`.
    [[nodiscard]] shared_updates newsAfter(update_sequence seen, link_number link) const;

    [[nodiscard]] update_sequence lastUpdate() const { return m_news; }

    /// @returns the sums over all tallies.
    [[nodiscard]] std::map<count_key, count_values> totals() const;

    [[nodiscard]] std::vector<std::string> haltedVersions() const;
    [[nodiscard]] std::vector<std::uint64_t> quarantined() const;

private:
    struct item {
        update_sequence changed = 0;
        link_number link = kNoLink;
        instant learntAt{};
    };
    struct count_item {
        count_values values{};
        count_values announced{}; ///< values at the last change that became news
        item state;
    };
    using tally_key = std::pair<tally_id, count_key>;

    void noteGrowth(count_item &entry, link_number link);
    void dropOldestTally();

    tally_id m_ownTally;
    update_sequence m_news = 0; ///< raised by every change that is sent on
    std::uint32_t m_dampingDivisor = 0;
    std::map<tally_key, count_item> m_counts;
    std::map<std::string, item> m_halted;
    std::map<std::uint64_t, item> m_quarantined;
};

/// Counts on their way to the root. Each is taken over by exactly one parent, or lost with a parent that died while it
/// was unknown whether it had taken them; none is counted twice.
class delta_queue
{
public:
    struct delta {
        std::uint64_t sequence = 0; ///< 0: nothing to send
        std::vector<shared_count> counts;
    };

    void add(const std::vector<shared_count> &counts);

    /// @returns the counts to send to the parent: the unconfirmed ones again, or else those that wait and are due.
    [[nodiscard]] delta next(const std::function<bool(const shared_count &)> &isDue);

    /// The parent has taken everything up to this number.
    void confirm(std::uint64_t sequence);

    /// The parent is gone or has restarted. Counts that were sent to it and not confirmed are dropped.
    void changeParent();

    /// @returns all that waits, for the host's own tally.
    [[nodiscard]] std::vector<shared_count> takeAll();

    [[nodiscard]] bool hasUnconfirmed() const { return m_sent.sequence != 0; }

private:
    std::map<count_key, count_values> m_waiting;
    delta m_sent; ///< sequence 0: none unconfirmed
    std::uint64_t m_sequence = 0;
};

/// Evidence of a version as shared counts, and back.
[[nodiscard]] shared_count toSharedCount(const version_evidence &evidence);
[[nodiscard]] version_evidence toEvidence(const count_key &key, const count_values &values);

} // namespace foxtaildyke
