// Formats inputs and actions of the decision core for golden transcripts.
#include "core_simulation_p.h"

namespace foxtaildyke::test
{

namespace
{

template <typename token>
std::string number(token value)
{
    return std::to_string(static_cast<std::uint64_t>(value));
}

std::string quotedText(std::string_view text)
{
    return '"' + std::string(text) + '"';
}

std::string joined(const std::vector<std::string> &names)
{
    std::string text;
    for (const auto &name : names)
        text += (text.empty() ? "" : " ") + name;
    return text;
}

/// @returns " key=value", or an empty string if the value is empty.
std::string field(std::string_view key, std::string_view value)
{
    return value.empty() ? std::string{} : " " + std::string(key) + "=" + std::string(value);
}

std::string field(std::string_view key, std::uint64_t value)
{
    return value == 0 ? std::string{} : field(key, std::to_string(value));
}

struct input_formatter {
    std::string operator()(const caller_request &input) const
    {
        return "request " + number(input.request) + " " + input.kind + field("id", input.requestId)
            + field("session", input.sessionId) + (input.sessionToken.empty() ? "" : " with token")
            + (input.stream ? " stream" : "") + " " + quotedText(input.prompt);
    }
    std::string operator()(const caller_gone &input) const { return "caller of " + number(input.request) + " is gone"; }
    std::string operator()(const attempt_chunk &input) const
    {
        return "chunk of attempt " + number(input.attempt) + " " + quotedText(input.text);
    }
    std::string operator()(const attempt_done &input) const
    {
        return "end of attempt " + number(input.attempt) + field("prompt_tokens", input.promptTokens)
            + field("completion_tokens", input.completionTokens);
    }
    std::string operator()(const attempt_failed &input) const
    {
        return "failure of attempt " + number(input.attempt) + ": " + std::string(nameOf(input.failure));
    }
    std::string operator()(const ledger_response &input) const
    {
        return "ledger reply to " + std::string(nameOf(input.step)) + " of " + number(input.request) + ": "
            + std::string(nameOf(input.status)) + field("pins", joined(input.pins)) + field("answer", input.answer);
    }
    std::string operator()(const rating_response &input) const
    {
        return "rating of attempt " + number(input.attempt) + ": "
            + (input.scorePermille ? std::to_string(*input.scorePermille) : "none");
    }
    std::string operator()(const config_changed &input) const
    {
        std::string text = "configuration " + std::to_string(input.config->generation);
        for (const auto &version : input.config->versions)
            text += ", " + version.name + " " + std::string(nameOf(version.state));
        return text;
    }
    std::string operator()(const lease_changed &input) const
    {
        return "lease for generation " + std::to_string(input.generation) + " until "
            + std::to_string(std::chrono::duration_cast<milliseconds>(input.expiresAt).count()) + " ms";
    }
    std::string operator()(const upstreams_changed &input) const
    {
        std::string text = "host list";
        for (const auto &upstream : input.upstreams)
            text += ", " + upstream.name + " " + std::string(nameOf(upstream.state));
        return text;
    }
    std::string operator()(const load_report &input) const { return "load report of " + input.upstream; }
    std::string operator()(const evidence_update &input) const
    {
        return "evidence of other hosts, halted: " + joined(input.haltedVersions);
    }
    std::string operator()(const estimates_update &input) const
    {
        return "estimates of other hosts: " + std::to_string(input.counts.size());
    }
    std::string operator()(const quarantine_update &input) const
    {
        return "quarantine from other hosts: " + std::to_string(input.fingerprints.size()) + " requests, "
            + std::to_string(input.crashed.size()) + " that crashed an upstream";
    }
    std::string operator()(const limit_shares &) const { return "limit shares"; }
    std::string operator()(const timer_tick &) const { return "timer"; }
    std::string operator()(const drain_request &) const { return "planned stop"; }
};

struct action_formatter {
    std::string operator()(const start_attempt &action) const
    {
        return "start attempt " + number(action.attempt) + " of " + number(action.request) + " on " + action.upstream
            + field("model", action.model) + field("version", action.version) + field("generation", action.generation)
            + " timeout=" + std::to_string(action.timeout.count()) + "ms";
    }
    std::string operator()(const cancel_attempt &action) const { return "cancel attempt " + number(action.attempt); }
    std::string operator()(const send_chunk &action) const
    {
        return "send to caller of " + number(action.request) + " " + quotedText(action.text);
    }
    std::string operator()(const finish_request &action) const
    {
        return "finish " + number(action.request) + ": " + std::string(nameOf(action.outcome))
            + (action.reason == reason_code::none ? "" : " " + std::string(nameOf(action.reason)))
            + field("field", action.field) + field("retry_after_ms", std::uint64_t(action.retryAfter.count()))
            + field("version", action.version) + field("cost", action.costMicroUnits)
            + (action.sessionToken.empty() ? "" : " with token") + field("stored", action.storedResponse)
            + (action.text.empty() ? "" : " " + quotedText(action.text));
    }
    std::string operator()(const write_claim &action) const
    {
        return "claim " + action.account + " " + action.requestId;
    }
    std::string operator()(const write_bill &action) const
    {
        return "bill " + action.account + " " + action.requestId + field("version", action.version)
            + field("cost", action.costMicroUnits) + (action.answer.empty() ? "" : " with answer");
    }
    std::string operator()(const write_pin &action) const
    {
        return "pin " + action.account + " " + action.sessionId + ": " + joined(action.versions);
    }
    std::string operator()(const request_rating &action) const
    {
        return "rate attempt " + number(action.attempt) + " " + quotedText(action.text);
    }
    std::string operator()(const share_evidence &action) const
    {
        const auto &delta = action.delta;
        return "share evidence " + delta.version + field("dispatched", delta.dispatched) + field("passed", delta.passed)
            + field("failed", delta.failed) + field("settled", delta.settled);
    }
    std::string operator()(const share_estimates &action) const
    {
        std::string text = "share estimates";
        for (const auto &entry : action.delta)
            text += " " + entry.kind + "/" + entry.version + field("met", entry.met) + field("missed", entry.missed);
        return text;
    }
    std::string operator()(const share_halt &action) const { return "share halt of " + action.version; }
    std::string operator()(const share_quarantine &action) const
    {
        return action.isBlocked ? "share quarantine" : "share crash";
    }
    std::string operator()(const record_event &action) const
    {
        const auto request = static_cast<std::uint64_t>(action.request);
        return action.type + (request == 0 ? "" : " " + std::to_string(request)) + field("version", action.version)
            + field("upstream", action.upstream) + (action.reason.empty() ? "" : ": " + action.reason);
    }
};

} // namespace

std::string describe(const core_input &input)
{
    return std::visit(input_formatter{}, input);
}

std::string describe(const core_action &action)
{
    return std::visit(action_formatter{}, action);
}

} // namespace foxtaildyke::test
