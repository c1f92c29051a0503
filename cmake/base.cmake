# Event loop, HTTP client and server, log output, settings and command line, shared by all programs.
add_library(foxtaildyke-base STATIC
    src/command_line.cpp
    src/event_loop.cpp
    src/fatal_signal.cpp
    src/header_text.cpp
    src/http_client.cpp
    src/http_server.cpp
    src/line_sink.cpp
    src/log_output.cpp
    src/process_settings.cpp
    src/port_wait.cpp
    src/request_target.cpp
    src/socket_options.cpp)
target_include_directories(foxtaildyke-base PUBLIC include src)
target_link_libraries(foxtaildyke-base PUBLIC PkgConfig::EVENT PkgConfig::EVHTP PkgConfig::INIH PkgConfig::LOG4CXX
    prometheus-cpp::core Threads::Threads xxhash)
