# tests/test_*.cpp form one doctest binary; tests/failure_*.cpp, which start real processes, form another.
find_package(doctest CONFIG REQUIRED)
file(GLOB unit_tests CONFIGURE_DEPENDS tests/test_*.cpp)
add_executable(foxtaildyke-tests tests/tests_main.cpp tests/freshness_sim.cpp tests/gateway_harness.cpp
    tests/relay_bus.cpp tests/severable_link.cpp tests/standin_store.cpp tests/failure_support.cpp ${unit_tests})
target_link_libraries(foxtaildyke-tests PRIVATE foxtaildyke-adapters foxtaildyke-gateway-lib rapidcheck)
target_compile_definitions(foxtaildyke-tests PRIVATE FOXTAILDYKE_SOURCE_DIR="${CMAKE_SOURCE_DIR}")

file(GLOB failure_tests CONFIGURE_DEPENDS tests/failure_*.cpp)
add_executable(foxtaildyke-failure-tests tests/tests_main.cpp tests/gateway_harness.cpp tests/gateway_process.cpp
    tests/severable_link.cpp tests/standin_store.cpp ${failure_tests})
target_link_libraries(foxtaildyke-failure-tests PRIVATE foxtaildyke-core foxtaildyke-gateway-lib Threads::Threads)
target_compile_definitions(foxtaildyke-failure-tests PRIVATE FOXTAILDYKE_BINARY_DIR="${CMAKE_BINARY_DIR}")

# Ledger benchmark for docs/MEASUREMENTS.md; not a test.
add_executable(foxtaildyke-measure-ledger tests/measure_ledger.cpp)
target_link_libraries(foxtaildyke-measure-ledger PRIVATE foxtaildyke-core)
# Relay tree benchmark; see scripts/measure-relay.
add_executable(foxtaildyke-measure-relay tests/measure_relay.cpp tests/relay_bus.cpp)
target_link_libraries(foxtaildyke-measure-relay PRIVATE foxtaildyke-adapters)
# Work of one host by the number of replicas, for docs/CAPACITY.md.
add_executable(foxtaildyke-measure-fleet tests/measure_fleet.cpp)
target_link_libraries(foxtaildyke-measure-fleet PRIVATE foxtaildyke-gateway-lib)
