// Which host owns a ledger segment, and the records on their way to it.
#pragma once

#include "ledger_service_p.h"

namespace foxtaildyke
{

/// Registered hosts, those that are gone, and those that did not answer lately.
class ledger_hosts
{
public:
    explicit ledger_hosts(std::string self)
        : m_self(std::move(self))
    {
    }

    void configure(const std::vector<host_config> &hosts);
    void setGone(std::set<std::string> hosts);
    void suspect(const std::string &host, instant until);

    /// Ends suspicions that are over.
    void tick(instant now);

    /// @returns the first live host in rendezvous order; this host where none is known.
    [[nodiscard]] const std::string &ownerOf(std::uint32_t segment);

    /// @returns a live host of another failure domain for a copy, spread by the record's writer; empty if none is left.
    [[nodiscard]] std::string selectCopyHolder(std::string_view writer, const std::set<std::string> &tried) const;

    [[nodiscard]] bool isGone(const std::string &host) const;

private:
    [[nodiscard]] bool isUsable(const std::string &host) const;

    std::string m_self;
    std::string m_failureDomain; ///< of this host
    std::vector<host_config> m_hosts;
    std::set<std::string> m_gone;
    std::map<std::string, instant> m_suspected; ///< until when
    std::map<std::uint32_t, std::string> m_owners; ///< cache; emptied when a host comes or goes
};

/// Sends records to the owners of their segments and writes a segment itself where that fails.
class ledger_router
{
public:
    ledger_router(std::string host, std::string run, object_store &store, ledger_peers &peers,
                  ledger_service_timing timing);
    ~ledger_router();
    ledger_router(const ledger_router &) = delete;
    ledger_router &operator=(const ledger_router &) = delete;

    void configure(const fleet &config);

    /// Sends a record to its owner, or appends it here. `done` runs once.
    void route(ledger_record record, append_done done);

    /// Appends a record to a segment of this host.
    void appendLocally(ledger_record record, append_done done);

    void tick(instant now, std::int64_t unixSeconds);
    [[nodiscard]] std::optional<instant> nextTick() const;

    [[nodiscard]] ledger_hosts &hosts();
    [[nodiscard]] std::size_t entries() const;
    [[nodiscard]] std::size_t memoryPins() const;
    [[nodiscard]] std::uint32_t segments() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_impl;
};

} // namespace foxtaildyke
