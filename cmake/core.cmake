add_library(foxtaildyke-core STATIC
    src/admission.cpp
    src/balancer.cpp
    src/evidence.cpp
    src/fleet.cpp
    src/freshness.cpp
    src/ledger.cpp
    src/policy.cpp
    src/quarantine.cpp
    src/relay.cpp
    src/relay_children.cpp
    src/relay_search.cpp
    src/relay_shared.cpp
    src/router_core.cpp
    src/session.cpp
    src/settings.cpp)
