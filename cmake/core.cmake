add_library(foxtaildyke-core STATIC
    src/admission.cpp
    src/balancer.cpp
    src/evidence.cpp
    src/fleet.cpp
    src/freshness.cpp
    src/ledger.cpp
    src/ledger_codec.cpp
    src/ledger_compaction.cpp
    src/ledger_index.cpp
    src/ledger_routing.cpp
    src/ledger_service.cpp
    src/policy.cpp
    src/quarantine.cpp
    src/relay.cpp
    src/router_core.cpp
    src/session.cpp
    src/settings.cpp)
