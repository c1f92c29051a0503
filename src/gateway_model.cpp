// Lookups in the gateway configuration; see gateway_model_p.h.
#include "gateway_model_p.h"

#include "http_parser_p.h"

namespace foxtaildyke
{

namespace
{

std::string_view withoutPort(std::string_view host)
{
    const auto colon = host.rfind(':');
    return colon == std::string_view::npos || host.ends_with(']') ? host : host.substr(0, colon);
}

} // namespace

const gateway_route *gateway_config::findRoute(std::string_view host, std::string_view target) const
{
    const auto name = withoutPort(host);
    const auto path = target.substr(0, target.find('?'));
    const gateway_route *best = nullptr;
    for (const auto &route : routes) {
        const bool isLonger = !best || route.pathPrefix.size() > best->pathPrefix.size();
        if (isLonger && path.starts_with(route.pathPrefix) && isSameHeader(route.host, name))
            best = &route;
    }
    return best;
}

const client_account *gateway_config::findAccount(const std::string &key) const
{
    const auto found = accountsByKey.find(key);
    return found == accountsByKey.end() ? nullptr : &found->second;
}

const gateway_service *gateway_config::findService(const std::string &name) const
{
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

} // namespace foxtaildyke
