// Tests of what confirms the configuration in force: the rule alone, then random schedules of a store and a host.
#include "config_confirmation_p.h"

#include <doctest/doctest.h>
#include <random>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

constexpr auto kWatch = 2000ms;

config_reading readingOf(config_response type, instant sentAt, instant receivedAt)
{
    return {.type = type, .sentAt = sentAt, .receivedAt = receivedAt, .wait = kWatch};
}

config_confirmation shownVersion(generation_number version)
{
    config_confirmation confirmation;
    confirmation.recordShown(version);
    return confirmation;
}

} // namespace

TEST_CASE("config confirmation: a list, a watch without changes and a relay confirm as of different instants")
{
    auto confirmation = shownVersion(7);
    CHECK(confirmation.confirm(readingOf(config_response::list, 1s, 1500ms)) == std::optional<instant>(1s));
    CHECK(confirmation.confirm(readingOf(config_response::no_changes, 2s, 4100ms)) == std::optional<instant>(4s));
    auto relayed = readingOf(config_response::relayed, 5s, 5200ms);
    relayed.age = 600ms;
    CHECK(confirmation.confirm(relayed) == std::optional<instant>(4400ms));
    CHECK(confirmation.confirmedAt() == std::optional<instant>(4400ms));
    relayed.age = 3s;
    CHECK(confirmation.confirm(relayed) == std::optional<instant>(2s));
    CHECK(confirmation.confirmedAt() == std::optional<instant>(4400ms));
}

// Guards against a withdrawn key that runs while a host reads what it has missed, page by page.
TEST_CASE("config confirmation: changes and truncated pages confirm nothing")
{
    auto confirmation = shownVersion(7);
    CHECK_FALSE(confirmation.confirm(readingOf(config_response::changes, 1s, 1100ms)));
    for (const auto type : {config_response::list, config_response::changes, config_response::no_changes}) {
        auto truncated = readingOf(type, 1s, 4s);
        truncated.isTruncated = true;
        CHECK_FALSE(confirmation.confirm(truncated));
    }
    CHECK_FALSE(confirmation.confirmedAt());
}

// Guards against a withdrawn key that runs by a configuration which is known to be outdated.
TEST_CASE("config confirmation: nothing is confirmed while the source shows an older version than the newest known one")
{
    auto confirmation = shownVersion(7);
    confirmation.recordNewest(9);
    for (const auto type : {config_response::list, config_response::no_changes, config_response::relayed})
        CHECK_FALSE(confirmation.confirm(readingOf(type, 1s, 4s)));
    confirmation.recordShown(8);
    CHECK(confirmation.isOutdated(8));
    CHECK_FALSE(confirmation.confirm(readingOf(config_response::list, 1s, 4s)));
    confirmation.recordShown(9);
    CHECK_FALSE(confirmation.isOutdated(9));
    CHECK(confirmation.confirm(readingOf(config_response::list, 1s, 4s)));
    confirmation.recordNoneShown(); // another era of the store
    CHECK_FALSE(confirmation.confirm(readingOf(config_response::no_changes, 5s, 9s)));
    confirmation.recordShown(7); // from an older copy
    CHECK_FALSE(confirmation.confirm(readingOf(config_response::list, 6s, 9s)));
    CHECK(confirmation.newest() == 9);
}

// Guards against a lease that counts from the end of a watch which the store broke off at an unknown instant.
TEST_CASE("config confirmation: a watch without changes that ended early confirms as of its beginning")
{
    auto confirmation = shownVersion(7);
    CHECK(confirmation.confirm(readingOf(config_response::no_changes, 1s, 2900ms)) == std::optional<instant>(1s));
}

TEST_CASE("config confirmation: the next call keeps a confirmation recent, as a watch or, if it is due, as a list")
{
    config_confirmation confirmation;
    CHECK(confirmation.nextWait(kWatch, 0s) == kWatch); // nothing shown: the list is read first anyway
    confirmation.recordShown(7);
    CHECK_FALSE(confirmation.nextWait(kWatch, 0s));
    REQUIRE(confirmation.confirm(readingOf(config_response::list, 1s, 1s)));
    CHECK(confirmation.nextWait(kWatch, 1010ms) == kWatch);
    CHECK(confirmation.nextWait(kWatch, 2s) == kWatch - 900ms);
    CHECK(confirmation.nextWait(kWatch, 3s) == config_confirmation::kMinWait);
    CHECK_FALSE(confirmation.nextWait(kWatch, 3001ms));
    confirmation.recordNewest(9); // shown by no list until it is written again
    CHECK(confirmation.nextWait(kWatch, 3001ms) == kWatch);
}

namespace
{

constexpr auto kLease = 4s; ///< 0.8 of the bound within which a withdrawn key must be refused

/// A store whose versions are written at random times, and a host that reads them; both in virtual time. If each
/// version withdraws the keys of the one before, no key may be accepted for longer than the lease after the next write.
class schedule
{
public:
    explicit schedule(unsigned seed)
        : m_random(seed)
    {
        for (instant at{0}; at < kEnd; at += draw(1, draw(1, 4) == 1ms ? 80 : 3000))
            m_writes.push_back(at);
        for (instant at = draw(1000, 8000); at < kEnd; at += draw(2000, 14000)) {
            m_cuts.emplace_back(at, at + draw(100, 9000));
            at = m_cuts.back().second;
        }
    }

    void run()
    {
        while (m_now < kEnd) {
            if (const auto end = cutUntil(m_now)) {
                m_now = std::min(*end, m_now + 200ms);
                check();
                continue;
            }
            call();
            check();
        }
    }

    bool hasOverstated = false; ///< a version was confirmed as of an instant at which there was a newer one
    bool hasLostLease = false; ///< a host in touch with the store for longer than a watch had no lease
    std::size_t confirmations = 0;

private:
    static constexpr instant kEnd = 120s;
    static constexpr std::size_t kPageVersions = 4;

    instant draw(int from, int to)
    {
        return std::chrono::milliseconds{std::uniform_int_distribution<int>(from, to)(m_random)};
    }

    [[nodiscard]] std::optional<instant> cutUntil(instant at) const
    {
        const auto found =
            std::ranges::find_if(m_cuts, [at](const auto &cut) { return cut.first <= at && at < cut.second; });
        return found == m_cuts.end() ? std::nullopt : std::optional(found->second);
    }

    /// @returns the newest version at an instant; versions are numbered from 1 in the order of the writes.
    [[nodiscard]] std::size_t versionAt(instant at) const
    {
        return static_cast<std::size_t>(std::ranges::upper_bound(m_writes, at) - m_writes.begin());
    }

    void call()
    {
        const auto sentAt = m_now;
        const auto servedAt = sentAt + 1ms;
        const auto wait = m_read == 0 ? std::nullopt : m_confirmation.nextWait(kWatch, m_now);
        config_reading reading;
        reading.sentAt = sentAt;
        if (!wait) {
            m_now = servedAt + draw(1, 300);
            m_read = versionAt(servedAt);
            m_confirmation.recordShown(m_read);
        } else {
            reading.wait = *wait;
            const auto first = m_read < m_writes.size() ? std::max(m_writes[m_read], servedAt) : kEnd;
            const bool isChange = first <= sentAt + *wait;
            const auto end = isChange ? first : servedAt + *wait;
            const auto cut = std::ranges::find_if(
                m_cuts, [&](const auto &entry) { return sentAt < entry.first && entry.first <= end; });
            if (cut != m_cuts.end()) {
                m_now = cut->first;
                return;
            }
            m_now = end + draw(1, 300);
            reading.type = isChange ? config_response::changes : config_response::no_changes;
            // The store cuts the page without saying so.
            if (isChange) {
                m_read = std::min(versionAt(end), m_read + kPageVersions);
                m_confirmation.recordShown(m_read);
            }
        }
        reading.receivedAt = m_now;
        confirmations += m_confirmation.confirm(reading) ? 1 : 0;
    }

    void check()
    {
        const auto confirmed = m_confirmation.confirmedAt();
        const bool hasLease = confirmed && m_now - *confirmed < kLease;
        const bool hasUnread = m_read > 0 && m_read < m_writes.size();
        hasOverstated = hasOverstated || (hasUnread && confirmed && m_writes[m_read] < *confirmed);
        const auto isRecent = [this](const auto &cut) {
            return cut.first <= m_now && m_now < cut.second + 1s;
        };
        const bool isInTouch = m_now > 1s && std::ranges::none_of(m_cuts, isRecent);
        hasLostLease = hasLostLease || (isInTouch && !hasLease);
    }

    std::mt19937 m_random;
    std::vector<instant> m_writes;
    std::vector<std::pair<instant, instant>> m_cuts;
    instant m_now{0};
    std::size_t m_read = 0; ///< version in force on the host
    config_confirmation m_confirmation;
};

} // namespace

// Guards against withdrawn keys after cuts, in bursts of changes that take several pages, and against a host in touch
// with the store that refuses keys because changes arrive all the time.
TEST_CASE("config confirmation: random schedules never confirm an older version, and a host in touch keeps its lease")
{
    for (unsigned seed = 1; seed <= 500; ++seed) {
        schedule run(seed);
        run.run();
        INFO("seed ", seed);
        CHECK_FALSE(run.hasOverstated);
        CHECK_FALSE(run.hasLostLease);
        CHECK(run.confirmations > 10);
    }
}
