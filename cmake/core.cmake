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
    src/router_core.cpp
    src/session.cpp
    src/settings.cpp
    src/settings_edits.cpp
    src/settings_ini.cpp
    src/settings_json.cpp
    src/settings_reference.cpp
    src/settings_table.cpp)
