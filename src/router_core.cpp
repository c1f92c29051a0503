// Decision core of the router; see router_core_p.h.
#include "router_core_p.h"
