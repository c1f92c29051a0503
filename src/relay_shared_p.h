// State that all hosts share through the relay tree: counts of evidence and estimates, halted versions, quarantined
// fingerprints. Merging is idempotent and commutative, so duplicated or reordered messages have no effect. No I/O, no
// clock.
#pragma once

#include "evidence_p.h"

#include <array>
#include <functional>
#include <map>
#include <tuple>

namespace foxtaildyke
{

/// Subject of a count: the evidence of a version (empty kind), or the estimate for a kind and version.
struct count_key {
    std::string kind;
    std::string version;
    auto operator<=>(const count_key &) const = default; // NOLINT(modernize-use-nullptr): a false positive
};

/// Counts for one key: passed, failed, dispatched, settled. An estimate uses the first two as met and missed.
using count_values = std::array<std::uint64_t, 4>;

struct shared_count {
    count_key key;
    count_values values{};
    bool operator==(const shared_count &) const = default;
};

/// Identifies the tally of one root process.
using tally_id = std::uint32_t;

/// Counts that one root process has collected from its tree.
struct shared_tally {
    tally_id root = 0;
    std::vector<shared_count> counts;
    bool operator==(const shared_tally &) const = default;
};

/// Updates of the shared state that one side of a link sends to the other.
struct shared_updates {
    std::vector<shared_tally> tallies;
    std::vector<std::string> haltedVersions;
    std::vector<std::uint64_t> quarantined;
    std::vector<std::uint64_t> crashed; ///< fingerprints of requests that have crashed one upstream
    [[nodiscard]] bool isEmpty() const
    {
        return tallies.empty() && haltedVersions.empty() && quarantined.empty() && crashed.empty();
    }
};

/// Sequence number of an update of one host's shared state.
using update_sequence = std::uint64_t;

/// Identifies the link over which an item was received; the item is not sent back over it.
using link_number = std::uint64_t;
inline constexpr link_number kNoLink = 0;

class shared_state
{
public:
    explicit shared_state(tally_id ownTally);

    /// Limits how often a growing count is propagated: it is sent again only after it has grown by 1/divisor.
    /// @param divisor 0 propagates every growth.
    void setDamping(std::uint32_t divisor) { m_dampingDivisor = divisor; }

    /// Propagates all growth that damping has held back.
    void publishAll();

    /// Adds counts to the tally that this host keeps as a root.
    void addToOwnTally(const std::vector<shared_count> &delta);

    /// Merges the updates received over a link.
    /// @returns whether they contained a new halt or quarantine.
    bool merge(const shared_updates &updates, link_number link, instant now);

    /// @returns whether the version was not halted before.
    bool halt(const std::string &version);

    /// @returns whether the fingerprint was not quarantined before.
    bool addQuarantined(std::uint64_t fingerprint, instant now);

    void addCrashed(std::uint64_t fingerprint, instant now);

    /// Removes fingerprints that were received before the given time.
    void expireQuarantined(instant before);

    /// @returns the updates after `seen` that were not received over `link`.
    [[nodiscard]] shared_updates updatesAfter(update_sequence seen, link_number link) const;

    [[nodiscard]] update_sequence lastUpdate() const { return m_lastUpdate; }

    /// @returns the sums over all tallies.
    [[nodiscard]] std::map<count_key, count_values> totals() const;

    [[nodiscard]] std::vector<std::string> haltedVersions() const;
    [[nodiscard]] std::vector<std::uint64_t> quarantined() const;
    [[nodiscard]] std::vector<std::uint64_t> crashed() const;

private:
    struct item {
        update_sequence changed = 0; ///< last update that contains a change of it
        link_number link = kNoLink; ///< over which it was received
        instant receivedAt{};
    };
    struct count_item {
        count_values values{};
        count_values published{}; ///< values at the last propagated update
        item state;
    };
    using tally_key = std::pair<tally_id, count_key>;

    using fingerprint_map = std::map<std::uint64_t, item>;

    /// @returns whether any fingerprint is new.
    bool mergeFingerprints(fingerprint_map &known, const std::vector<std::uint64_t> &received, const item &origin);
    void recordGrowth(count_item &entry, link_number link);
    void evictOldestTally();

    tally_id m_ownTally;
    update_sequence m_lastUpdate = 0; ///< incremented by every change to propagate
    std::uint32_t m_dampingDivisor = 0;
    std::map<tally_key, count_item> m_counts;
    std::map<std::string, item> m_halted;
    fingerprint_map m_quarantined;
    fingerprint_map m_crashed;
};

/// Counts to send to the root. Each is applied by at most one parent: counts are lost, rather than counted twice, if
/// the parent fails before it has confirmed them.
class delta_queue
{
public:
    struct delta {
        std::uint64_t sequence = 0; ///< 0: nothing to send
        std::vector<shared_count> counts;
    };

    void add(const std::vector<shared_count> &counts);

    /// @returns the counts to send to the parent: the unconfirmed ones if there are any, else the pending ones that are
    /// due.
    [[nodiscard]] delta next(const std::function<bool(const shared_count &)> &isDue);

    /// Called when the parent has applied all deltas up to this sequence number.
    void confirm(std::uint64_t sequence);

    /// Drops the counts that were sent but not confirmed, because the parent is gone or has restarted and may have
    /// applied them.
    void dropUnconfirmed();

    /// Removes all pending counts, for the host's own tally.
    /// @returns the removed counts.
    [[nodiscard]] std::vector<shared_count> takeAll();

    [[nodiscard]] bool hasUnconfirmed() const { return m_unconfirmed.sequence != 0; }

private:
    std::map<count_key, count_values> m_pending;
    delta m_unconfirmed; ///< sequence 0: there are none
    std::uint64_t m_sequence = 0;
};

/// Conversion between the evidence of a version and its shared counts.
[[nodiscard]] shared_count toSharedCount(const version_evidence &evidence);
[[nodiscard]] version_evidence toEvidence(const count_key &key, const count_values &values);

} // namespace foxtaildyke
