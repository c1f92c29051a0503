# The gateway, which runs on the users' platform. It links neither gRPC nor the router's API.
add_library(foxtaildyke-gateway-lib STATIC
    platform/decode.cpp
    platform/decode_response.cpp
    platform/feed_relay.cpp
    platform/kind_mirror.cpp
    platform/store_feed.cpp
    platform/store_feed_config.cpp
    platform/store_feed_relayed.cpp
    platform/store_feed_writes.cpp
    platform/wire_names.cpp
    src/attempt_rules.cpp
    src/body_memory.cpp
    src/bounded_json.cpp
    src/brittle_replicas.cpp
    src/caller_connection.cpp
    src/config_confirmation.cpp
    src/crash_detector.cpp
    src/crash_evidence.cpp
    src/crash_registry.cpp
    src/decision_log.cpp
    src/detour_hosts.cpp
    src/detour_wire.cpp
    src/event_splitter.cpp
    src/forwarding.cpp
    src/gateway_exchange.cpp
    src/gateway_exchange_detour.cpp
    src/gateway_exchange_evidence.cpp
    src/gateway_exchange_responses.cpp
    src/gateway_metrics.cpp
    src/gateway_model.cpp
    src/gateway_settings.cpp
    src/gateway_task.cpp
    src/gateway_task_detours.cpp
    src/gateway_task_feed.cpp
    src/http_parser.cpp
    src/limit_claims.cpp
    src/load_aggregator.cpp
    src/load_forecast.cpp
    src/model_cascade.cpp
    src/reachability.cpp
    src/relay_choice.cpp
    src/replica_gate.cpp
    src/replica_limits.cpp
    src/replica_notices.cpp
    src/replica_prober.cpp
    src/replica_registry.cpp
    src/replica_table.cpp
    src/retry_budget.cpp
    src/rollout_evidence.cpp
    src/rollout_policy.cpp
    src/stream_socket.cpp
    src/text_compression.cpp
    src/upstream_exchange.cpp)
target_include_directories(foxtaildyke-gateway-lib PUBLIC include src platform)
target_link_libraries(foxtaildyke-gateway-lib PUBLIC foxtaildyke-base ZLIB::ZLIB)
add_executable(foxtaildyke-gateway tools/gateway_main.cpp)
target_link_libraries(foxtaildyke-gateway PRIVATE foxtaildyke-gateway-lib)
