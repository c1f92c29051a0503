add_library(foxtaildyke-adapters STATIC
    src/caller_api.cpp
    src/controller.cpp
    src/event_log.cpp
    src/event_loop.cpp
    src/metrics.cpp
    src/object_store_http.cpp
    src/peer_client.cpp
    src/peer_service.cpp
    src/peer_wire.cpp
    src/platform_client.cpp
    src/upstream_client.cpp)
