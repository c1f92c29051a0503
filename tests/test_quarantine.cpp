// Quarantine: a crashing request must be blocked after two upstreams, and no longer than its lifetime.
#include "quarantine_p.h"

#include <doctest/doctest.h>

using namespace foxtaildyke;
using namespace std::chrono_literals;

TEST_CASE("a fingerprint is blocked at its second crash and free after its lifetime")
{
    quarantine entries;
    const tuning tune{.quarantineLifetime = 600s};
    const auto print = fingerprintOf("a", "page-tag", "poison");
    CHECK_FALSE(entries.recordCrash(print, tune, 0s));
    CHECK_FALSE(entries.isBlocked(print, 1s));
    CHECK(entries.recordCrash(print, tune, 10s));
    CHECK(entries.isBlocked(print, 609s));
    CHECK_FALSE(entries.isBlocked(print, 610s));
    CHECK_MESSAGE(!entries.recordCrash(print, tune, 700s), "an expired entry starts anew");
}

TEST_CASE("a fingerprint that another host blocked stays blocked for its longest lifetime")
{
    quarantine entries;
    const auto print = fingerprintOf("a", "page-tag", "poison");
    entries.block(print, tuning{.quarantineLifetime = 600s}, 0s);
    entries.block(print, tuning{.quarantineLifetime = 10s}, 1s);
    CHECK(entries.isBlocked(print, 599s));
    CHECK_FALSE(entries.isBlocked(fingerprintOf("a", "page-tag", "other"), 1s));
}

TEST_CASE("fingerprints keep account, kind and prompt apart")
{
    CHECK(fingerprintOf("ab", "c", "d") != fingerprintOf("a", "bc", "d"));
    CHECK(fingerprintOf("a", "b", "cd") != fingerprintOf("a", "bc", "d"));
}

TEST_CASE("entries still in force survive the purge of expired ones")
{
    quarantine entries;
    const tuning tune{.quarantineLifetime = 600s};
    for (std::uint64_t print = 0; print < 5000; ++print)
        entries.block(print, tune, std::chrono::seconds{print});
    CHECK(entries.isBlocked(4999, 5000s));
    CHECK(entries.isBlocked(4500, 5000s));
    CHECK_FALSE(entries.isBlocked(4000, 5000s));
}
