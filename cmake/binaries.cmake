# One binary per tools/*_main.cpp: tools/router_main.cpp becomes foxtaildyke-router. For the gateway see gateway.cmake.
file(GLOB mains CONFIGURE_DEPENDS tools/*_main.cpp)
list(FILTER mains EXCLUDE REGEX gateway_main)
foreach(main ${mains})
    get_filename_component(name ${main} NAME_WE)
    string(REGEX REPLACE "_main$" "" name ${name})
    string(REPLACE "_" "-" name ${name})
    # Other sources of a binary have its name as a prefix: tools/load_*.cpp belong to foxtaildyke-load.
    string(REPLACE "-" "_" stem ${name})
    file(GLOB parts CONFIGURE_DEPENDS tools/${stem}_*.cpp)
    add_executable(foxtaildyke-${name} ${parts})
    target_link_libraries(foxtaildyke-${name} PRIVATE foxtaildyke-adapters)
endforeach()
