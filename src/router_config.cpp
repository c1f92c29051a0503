// Lookups by name in one generation of the configuration.
#include "router_config_p.h"

namespace foxtaildyke
{

namespace
{

/// @returns the handle of the first entry whose field equals the value, or an invalid handle.
template <typename handle_type, typename entry_type>
handle_type findBy(const std::vector<entry_type> &entries, std::string entry_type::*field, std::string_view value)
{
    const auto found = std::ranges::find(entries, value, field);
    if (found == entries.end())
        return {};
    return handle_type{static_cast<std::uint16_t>(found - entries.begin())};
}

} // namespace

account_handle router_config::accountByKey(std::string_view apiKey) const
{
    return findBy<account_handle>(accounts, &account_config::apiKey, apiKey);
}

account_handle router_config::accountByName(std::string_view name) const
{
    return findBy<account_handle>(accounts, &account_config::name, name);
}

model_handle router_config::modelByName(std::string_view name) const
{
    return findBy<model_handle>(models, &model_config::name, name);
}

version_handle router_config::versionByName(std::string_view name) const
{
    return findBy<version_handle>(versions, &version_config::name, name);
}

kind_handle router_config::kindByName(std::string_view name) const
{
    return findBy<kind_handle>(kinds, &kind_config::name, name);
}

host_handle router_config::hostByName(std::string_view name) const
{
    return findBy<host_handle>(hosts, &host_config::name, name);
}

bool router_config::isGranted(account_handle account, version_handle version) const
{
    return std::ranges::binary_search(accounts[account.index].grants, version);
}

} // namespace foxtaildyke
