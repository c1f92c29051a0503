// One run of an experiment in virtual time: several routers' decision cores, callers, simulated upstreams, and fakes of
// the ledger, the rating service and the relay. Equal settings and seeds give equal results.
#pragma once

#include "load_callers.h"
#include "load_report.h"
#include "load_upstreams.h"

#include <memory>
#include <unordered_map>

namespace foxtaildyke::load
{

class simulation
{
public:
    simulation(const experiment &settings, std::uint64_t seed);

    /// Runs to the end of all requests. @returns the report of this run.
    [[nodiscard]] arm_report run();

private:
    struct host {
        host(const host_config &config, std::uint64_t seed)
            : name(config.name)
            , core(config.name, config.failureDomain, seed)
        {
        }
        std::string name;
        router_core core;
        std::optional<instant> timerAt; ///< time of the scheduled timer tick
        std::map<std::string, version_evidence> shared; ///< this host's results published through the relay, by version
        std::map<std::string, std::uint64_t> arrivals; ///< by account, in the current second
    };
    /// One submission of a request to one host.
    struct submission {
        std::size_t request = 0; ///< index into m_requests
        std::size_t host = 0; ///< index into m_hosts
        instant at{};
        std::map<std::string, bool> verdicts; ///< by version: whether its response meets the target
    };
    /// Progress and result of one planned request.
    struct request_state {
        std::uint32_t submitCount = 0;
        std::uint32_t open = 0; ///< submissions without a response so far
        std::uint64_t runs = 0; ///< attempts started by an upstream
        std::uint64_t bills = 0; ///< bills written to the ledger
        std::uint64_t costMicroUnits = 0;
        std::optional<finish_request> best; ///< the complete response, otherwise the last outcome
        bool met = false;
        instant endedAt{};
        std::vector<double> refusalMs;
    };
    struct open_attempt {
        std::string upstream;
        std::string version;
        std::size_t submission = 0; ///< index into m_submissions
        instant startedAt{};
    };
    struct ledger_entry {
        bool claimed = false;
        bool billed = false;
        std::string answer;
        std::vector<std::string> pins;
    };
    using attempt_key = std::pair<std::size_t, attempt_token>; ///< host and attempt

    // Set-up: load_simulation.cpp.
    void buildUpstreams();
    void buildHosts();
    void scheduleEvents();
    void scheduleReports();
    void applyEvent(const timed_event &event);
    void applyVersion(const timed_event &event);
    void publishHostList();
    void publishShares();

    // Callers: load_simulation.cpp.
    void send(std::size_t request);
    void sendTo(std::size_t request, std::size_t hostIndex);
    /// Passes an input to the decision core of a host and executes the resulting actions.
    void feed(std::size_t hostIndex, const core_input &input);
    void feedLater(milliseconds delay, std::size_t hostIndex, core_input input);
    void armTimer(std::size_t hostIndex);
    [[nodiscard]] bool mayResend(const request_state &state, const workload &source,
                                 const finish_request &answer) const;
    [[nodiscard]] bool isReported(std::size_t request) const;
    void countRequest(std::size_t request);

    // Ports: load_simulation_ports.cpp.
    void on(std::size_t hostIndex, const start_attempt &action);
    void on(std::size_t hostIndex, const cancel_attempt &action);
    void on(std::size_t hostIndex, const finish_request &action);
    void on(std::size_t hostIndex, const write_claim &action);
    void on(std::size_t hostIndex, const write_bill &action);
    void on(std::size_t hostIndex, const write_pin &action);
    void on(std::size_t hostIndex, const request_rating &action);
    void on(std::size_t hostIndex, const share_evidence &action);
    void on(std::size_t hostIndex, const share_halt &action);
    void on(std::size_t hostIndex, const record_event &action);
    template <typename action_type>
    void on(std::size_t /*host*/, const action_type & /*action*/)
    {
    }
    void endAttempt(const attempt_key &key, std::optional<attempt_failure> failure);
    [[nodiscard]] bool meetsTarget(const planned_request &request, const std::string &version) const;
    void scheduleRelay();
    /// Publishes the results and halts of each host to all hosts.
    void runRelay();
    void recordHalt(std::size_t hostIndex, const std::string &version);
    void recordResponse(const open_attempt &attempt);

    experiment m_settings;
    std::uint64_t m_seed;
    virtual_clock m_clock;
    std::shared_ptr<const router_config> m_config;
    std::vector<planned_request> m_requests;
    std::vector<request_state> m_states; ///< of m_requests
    std::vector<submission> m_submissions; ///< index + 1 is the request token
    std::vector<std::unique_ptr<host>> m_hosts;
    std::vector<std::unique_ptr<upstream>> m_upstreams;
    std::map<std::string, upstream *> m_upstreamByName;
    std::map<attempt_key, open_attempt> m_attempts;
    std::map<attempt_key, std::string> m_unrated; ///< versions of responses that may still be rated
    std::map<std::pair<std::string, std::string>, ledger_entry> m_ledger; ///< by account and request or session id
    std::map<std::string, std::string> m_sessionTokens; ///< by session
    std::map<std::pair<std::size_t, std::string>, version_evidence>
        m_unpublished; ///< results not yet published through the relay, by host and version
    std::map<std::string, std::set<std::size_t>> m_haltedOn; ///< hosts that have received a halt, by version
    std::set<std::string> m_halts; ///< versions whose halt is published through the relay
    std::map<std::string, incident> m_incidents; ///< by version
    bool m_relayScheduled = false;
    bool m_ratingUp = true;
    arm_report m_report;
};

} // namespace foxtaildyke::load
