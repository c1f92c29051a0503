// Ownership of ledger segments, and routing of records to the owners.
#pragma once

#include "ledger_service_p.h"

namespace foxtaildyke
{

/// Registered hosts, with those that are gone and those suspected because a recent call to them failed.
class ledger_hosts
{
public:
    explicit ledger_hosts(std::string self)
        : m_self(std::move(self))
    {
    }

    void configure(const std::vector<host_config> &hosts);
    void setGone(std::set<std::string> hosts);

    /// Excludes a host until this time, because a call to it failed.
    void suspect(const std::string &host, instant until);

    /// Removes expired suspicions.
    void tick(instant now);

    /// @returns the usable host that ranks first by rendezvous hashing; this host if no hosts are configured.
    [[nodiscard]] const std::string &ownerOf(std::uint32_t segment);

    /// @returns a usable host of another failure domain to store a copy, chosen by rendezvous hashing of the record's
    /// writer; empty if no untried host is left.
    [[nodiscard]] std::string selectCopyHolder(std::string_view writer, const std::set<std::string> &tried) const;

    /// @returns whether the host is gone or not registered.
    [[nodiscard]] bool isGone(const std::string &host) const;

private:
    [[nodiscard]] bool isUsable(const std::string &host) const;

    std::string m_self;
    std::string m_failureDomain; ///< of this host
    std::vector<host_config> m_hosts;
    std::set<std::string> m_gone;
    std::map<std::string, instant> m_suspected; ///< with the end of the suspicion
    std::map<std::uint32_t, std::string> m_owners; ///< cache; cleared when the set of usable hosts changes
};

/// Sends records to the owners of their segments; if that fails, this host appends to the segment itself.
class ledger_router
{
public:
    ledger_router(std::string host, std::string run, object_store &store, ledger_peers &peers,
                  ledger_service_timing timing);
    ~ledger_router();
    ledger_router(const ledger_router &) = delete;
    ledger_router &operator=(const ledger_router &) = delete;

    void configure(const router_config &config);

    /// Sends a record to the owner of its segment, or appends it on this host. `done` is called exactly once.
    void route(ledger_record record, append_done done);

    /// Appends a record through this host's own writer of the segment.
    void appendLocally(ledger_record record, append_done done);

    /// Sets the time of the calls that follow, without starting what is due.
    void advance(instant now, std::int64_t unixSeconds);

    void tick(instant now, std::int64_t unixSeconds);
    [[nodiscard]] std::optional<instant> nextTick() const;

    [[nodiscard]] ledger_hosts &hosts();
    [[nodiscard]] std::size_t entries() const;
    [[nodiscard]] std::size_t memoryPins() const;
    /// @returns the number of segments; 0 before configure().
    [[nodiscard]] std::uint32_t segments() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_impl;
};

} // namespace foxtaildyke
