// Virtual-time simulation of the decision core for tests: a queue of inputs, scripted fakes of the upstreams, the
// ledger and the rating service, and a transcript of all inputs, actions and events.
#pragma once

#include "router_core_p.h"

#include <functional>
#include <set>
#include <sstream>

namespace foxtaildyke::test
{

using std::chrono::milliseconds;

/// Behavior of a fake upstream for one attempt.
struct attempt_script {
    std::vector<std::string> chunks{"answer"};
    std::optional<attempt_failure> failure; ///< reported after the chunks instead of completion
    milliseconds first{40}; ///< delay of the first chunk, or of the failure if there are no chunks
    milliseconds gap{10}; ///< interval between chunks
    bool silent = false; ///< neither completion nor failure is reported
    bool ignoresCancel = false; ///< events still arrive after the attempt is cancelled
};

/// Fake ledger. As in the real one, the first record of a type for a key is valid.
struct fake_ledger {
    struct entry {
        bool claimed = false;
        bool billed = false;
        std::string answer;
        std::vector<std::string> pins;
    };
    std::map<std::pair<std::string, std::string>, entry> entries; ///< by account and request or session id
    bool down = false;
    int billsAccepted = 0;

    ledger_response claim(const write_claim &action);
    ledger_response bill(const write_bill &action);
    ledger_response pin(const write_pin &action);
};

class core_simulation
{
public:
    core_simulation(router_config config, const std::vector<upstream_info> &upstreams, std::uint64_t seed = 1);

    /// Scripted behavior of the ports. By default all calls succeed.
    std::function<attempt_script(const start_attempt &)> upstream;
    std::function<std::optional<std::uint32_t>(std::string_view version)> rating;
    std::function<void(const core_action &)> observe; ///< called with each action before the fakes handle it
    std::function<void(const core_input &)> observeInput; ///< called with each input before the core handles it
    std::function<int(const core_input &)> copies; ///< number of times a response arrives: 0 if lost, 2 if duplicated
    milliseconds ledgerDelay{2};
    fake_ledger ledger;

    /// Schedules an input.
    void at(milliseconds time, core_input input);
    /// Schedules a script step, for example a change to a fake.
    void call(milliseconds time, std::string title, std::function<void()> step);
    /// Publishes a changed configuration as the next generation, with a lease for it.
    void configure(milliseconds time, std::function<void(router_config &)> change);
    /// Submits a request at a time. @returns its token.
    request_token submit(milliseconds time, std::string kind, const std::function<void(caller_request &)> &change = {});

    /// Processes all inputs and timers up to a time.
    void run(milliseconds until);

    [[nodiscard]] std::string transcript() const { return m_transcript.str(); }
    [[nodiscard]] instant now() const { return m_now; }
    [[nodiscard]] std::size_t openRequests() const { return m_core.openRequests(); }
    [[nodiscard]] const router_config &config() const { return m_config; }
    [[nodiscard]] const std::vector<finish_request> &responses(request_token request) { return m_responses[request]; }

    static constexpr std::int64_t kUnixStart = 1790000000; ///< wall clock at virtual time 0

private:
    struct step {
        std::string title; ///< title of a script step
        std::function<void()> call;
        core_input input;
    };
    void push(instant time, step next) { m_queue.emplace(time, std::move(next)); }
    void feed(const core_input &input, bool isTimer);
    void perform(const core_action &action);
    void perform(const start_attempt &action);
    void respond(milliseconds delay, const core_input &input);
    void line(std::string_view mark, const std::string &text);

    router_config m_config;
    router_core m_core;
    instant m_now{};
    std::multimap<instant, step> m_queue; ///< entries with equal times keep their insertion order
    std::set<attempt_token> m_cancelled;
    std::map<attempt_token, std::string> m_versions;
    std::map<request_token, std::vector<finish_request>> m_responses;
    std::uint64_t m_lastRequest = 0;
    std::ostringstream m_transcript;
};

/// Configurations and host lists of the two deployments in section 1.3 of docs/design.md.
[[nodiscard]] router_config linShou();
[[nodiscard]] router_config sollecitiPadani();
[[nodiscard]] std::vector<upstream_info> linShouUpstreams();
[[nodiscard]] std::vector<upstream_info> sollecitiPadaniUpstreams();

/// @returns the transcript line of an input or action, or an empty string if it is not shown.
[[nodiscard]] std::string describe(const core_input &input);
[[nodiscard]] std::string describe(const core_action &action);

} // namespace foxtaildyke::test
