// Object store and host list of the platform emulator; see standin_platform_p.h.
#include "standin_platform_p.h"

namespace foxtaildyke
{

std::optional<stored_object> object_table::read(const std::string &key) const
{
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? std::nullopt : std::optional(found->second);
}

std::optional<object_version> object_table::write(const std::string &key, std::string body, object_version expected)
{
    const auto found = m_objects.find(key);
    const auto current = found == m_objects.end() ? 0 : found->second.version;
    if (current != expected)
        return std::nullopt;
    const auto version = m_nextVersion++;
    m_objects[key] = {std::move(body), version};
    return version;
}

bool object_table::remove(const std::string &key, object_version expected)
{
    const auto found = m_objects.find(key);
    if (found == m_objects.end() || found->second.version != expected)
        return false;
    m_objects.erase(found);
    return true;
}

std::vector<std::pair<std::string, object_version>>
object_table::list(const std::string &prefix, const std::string &after, std::size_t limit) const
{
    std::vector<std::pair<std::string, object_version>> items;
    auto next = after.empty() ? m_objects.lower_bound(prefix) : m_objects.upper_bound(std::max(after, prefix));
    if (!after.empty() && after < prefix)
        next = m_objects.lower_bound(prefix);
    for (; next != m_objects.end() && next->first.starts_with(prefix) && items.size() < limit; ++next)
        items.emplace_back(next->first, next->second.version);
    return items;
}

bool host_table::apply(const nlohmann::json &change, instant now)
{
    if (!change.is_object() || !change.contains("name") || !change["name"].is_string())
        return false;
    const auto name = change["name"].get<std::string>();
    if (change.value("removed", false)) {
        m_hosts.erase(name);
    } else {
        auto &host = m_hosts[name];
        if (host.is_null())
            host = {{"role", "upstream"}, {"state", "live"}};
        host.update(change);
    }
    nlohmann::json list{{"version", ++m_version}, {"hosts", nlohmann::json::array()}};
    for (const auto &[key, host] : m_hosts)
        list["hosts"].push_back(host);
    m_history.push_back({now, std::move(list)});
    if (m_history.size() > kMaxHistory)
        m_history.pop_front();
    return true;
}

nlohmann::json host_table::listAt(instant time) const
{
    const auto newer = std::ranges::upper_bound(m_history, time, {}, &snapshot::at);
    if (newer == m_history.begin())
        return {{"version", 0}, {"hosts", nlohmann::json::array()}};
    return std::prev(newer)->list;
}

} // namespace foxtaildyke
