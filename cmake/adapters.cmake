add_library(foxtaildyke-adapters STATIC
    src/caller_api.cpp
    src/caller_protocol.cpp
    src/command_line.cpp
    src/event_log.cpp
    src/event_loop.cpp
    src/http_client.cpp
    src/http_server.cpp
    src/load_poller.cpp
    src/metrics.cpp
    src/object_store_http.cpp
    src/peer_client.cpp
    src/peer_service.cpp
    src/platform_client.cpp
    src/process_settings.cpp
    src/router_task.cpp
    src/store_ports.cpp
    src/upstream_client.cpp)
