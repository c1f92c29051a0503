// Admission; see admission_p.h.
#include "admission_p.h"

namespace foxtaildyke
{

namespace
{

constexpr double kRetryUnitsMost = 10; ///< retries that a burst may take at once

} // namespace

admission_verdict admission::admit(const fleet &config, account_handle account, instant now)
{
    const auto &limits = config[account];
    auto &state = m_accounts[limits.name];
    const auto rate = limits.requestsPerSecond * state.share;
    const auto burst = std::max(1.0, limits.burst * state.share);
    const auto elapsed = std::chrono::duration<double>(now - state.refilledAt).count();
    state.tokens = state.tokens < 0 ? burst : std::min(burst, state.tokens + elapsed * rate);
    state.refilledAt = now;
    if (state.inFlight >= std::max(1.0, limits.concurrency * state.share))
        return {reason_code::rate_limited, std::chrono::milliseconds{500}};
    if (state.tokens < 1) {
        const auto wait = rate > 0 ? (1 - state.tokens) / rate : 60.0;
        return {reason_code::rate_limited, std::chrono::milliseconds{static_cast<std::int64_t>(wait * 1000) + 1}};
    }
    state.tokens -= 1;
    ++state.inFlight;
    return {};
}

void admission::release(std::string_view account)
{
    const auto found = m_accounts.find(account);
    if (found != m_accounts.end() && found->second.inFlight > 0)
        --found->second.inFlight;
}

void admission::setShare(std::string_view account, double share)
{
    m_accounts[std::string(account)].share = std::clamp(share, 0.0, 1.0);
}

void admission::enqueue(request_token request, std::string_view account, std::uint32_t weight, request_class priority)
{
    auto &state = m_accounts[std::string(account)];
    state.virtualTime = std::max(state.virtualTime, m_virtualNow) + 1.0 / std::max(1U, weight);
    m_queue.push_back({request, std::string(account), priority, state.virtualTime});
}

bool admission::remove(request_token request)
{
    const auto found = std::ranges::find(m_queue, request, &queued::request);
    if (found == m_queue.end())
        return false;
    m_virtualNow = std::max(m_virtualNow, found->finishTag);
    m_queue.erase(found);
    return true;
}

std::vector<request_token> admission::order() const
{
    std::vector<const queued *> sorted;
    std::ranges::transform(m_queue, std::back_inserter(sorted), [](const queued &entry) { return &entry; });
    std::ranges::stable_sort(sorted, {},
                             [](const queued *entry) { return std::pair(entry->priority, entry->finishTag); });
    std::vector<request_token> requests;
    std::ranges::transform(sorted, std::back_inserter(requests), &queued::request);
    return requests;
}

void admission::noteFirstAttempt()
{
    m_retryUnits = std::min(kRetryUnitsMost, m_retryUnits + 0.1);
}

bool admission::takeRetry(const tuning &)
{
    if (m_retryUnits < 1)
        return false;
    m_retryUnits -= 1;
    return true;
}

} // namespace foxtaildyke
