// Quarantine: a request that crashes upstreams must be blocked after two crashes, and only for the lifetime of the
// entry.
#include "quarantine_p.h"

#include "golden_p.h"

#include <doctest/doctest.h>

using namespace foxtaildyke;
using namespace foxtaildyke::test;
using namespace std::chrono_literals;

namespace
{

quarantine_update updateOf(const share_quarantine &shared)
{
    const std::vector<std::uint64_t> fingerprints{shared.fingerprint};
    return shared.isBlocked ? quarantine_update{.fingerprints = fingerprints}
                            : quarantine_update{.crashed = fingerprints};
}

} // namespace

TEST_CASE("a fingerprint is blocked at its second crash, until its lifetime ends")
{
    quarantine entries;
    const tuning tune{.quarantineLifetime = 600s};
    const auto fingerprint = fingerprintOf("a", "page-tag", "poison");
    CHECK_FALSE(entries.recordCrash(fingerprint, tune, 0s));
    CHECK_FALSE(entries.isBlocked(fingerprint, 1s));
    CHECK(entries.recordCrash(fingerprint, tune, 10s));
    CHECK(entries.isBlocked(fingerprint, 609s));
    CHECK_FALSE(entries.isBlocked(fingerprint, 610s));
    CHECK_MESSAGE(!entries.recordCrash(fingerprint, tune, 700s), "an expired entry restarts its count");
}

TEST_CASE("a fingerprint blocked by another host stays blocked for the longest lifetime")
{
    quarantine entries;
    const auto fingerprint = fingerprintOf("a", "page-tag", "poison");
    entries.block(fingerprint, tuning{.quarantineLifetime = 600s}, 0s);
    entries.block(fingerprint, tuning{.quarantineLifetime = 10s}, 1s);
    CHECK(entries.isBlocked(fingerprint, 599s));
    CHECK_FALSE(entries.isBlocked(fingerprintOf("a", "page-tag", "other"), 1s));
}

TEST_CASE("fingerprints distinguish account, kind and prompt")
{
    CHECK(fingerprintOf("ab", "c", "d") != fingerprintOf("a", "bc", "d"));
    CHECK(fingerprintOf("a", "b", "cd") != fingerprintOf("a", "bc", "d"));
}

TEST_CASE("unexpired entries remain after the purge of expired ones")
{
    quarantine entries;
    const tuning tune{.quarantineLifetime = 600s};
    for (std::uint64_t fingerprint = 0; fingerprint < 5000; ++fingerprint)
        entries.block(fingerprint, tune, std::chrono::seconds{fingerprint});
    CHECK(entries.isBlocked(4999, 5000s));
    CHECK(entries.isBlocked(4500, 5000s));
    CHECK_FALSE(entries.isBlocked(4000, 5000s));
}

TEST_CASE("quarantine: crashes of an at-most-once request sent to different hosts add up")
{
    constexpr int kHosts = 5;
    std::uint32_t crashes = 0;
    std::vector<std::unique_ptr<core_simulation>> hosts;
    for (int index = 0; index < kHosts; ++index) {
        hosts.push_back(std::make_unique<core_simulation>(linShou(), linShouUpstreams(), index + 1));
        auto &host = *hosts.back();
        host.upstream = [&crashes](const start_attempt &) {
            ++crashes;
            return failing(attempt_failure::connection_lost);
        };
        // Each host delivers what it shares to the others.
        host.observe = [&hosts, index](const core_action &action) {
            const auto *shared = std::get_if<share_quarantine>(&action);
            for (int other = 0; shared && other < kHosts; ++other)
                if (other != index)
                    hosts[other]->at(std::chrono::duration_cast<milliseconds>(hosts[index]->now()), updateOf(*shared));
        };
    }
    // The caller sends the request again through each host in turn.
    for (int index = 0; index < kHosts; ++index) {
        const auto sentAt = 1s * (index + 1);
        hosts[index]->submit(sentAt, "docket-status", [](caller_request &request) { request.prompt = "poison"; });
        for (const auto &host : hosts)
            host->run(sentAt + 500ms);
    }
    CHECK(crashes == quarantine::kCrashLimit);
}
