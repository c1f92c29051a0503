// HTTP mode; see load_http.h.
#include "load_http.h"

namespace foxtaildyke::load
{

result<arm_report> runHttp(const experiment &settings, std::uint64_t /*seed*/)
{
    if (settings.routers.empty())
        return error{error_code::missing_key, "experiment/routers"};
    return error{error_code::unavailable, "HTTP mode"};
}

} // namespace foxtaildyke::load
