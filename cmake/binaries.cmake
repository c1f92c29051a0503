# One binary for each tools/*_main.cpp: tools/router_main.cpp becomes foxtaildyke-router. The gateway has its own file.
file(GLOB mains CONFIGURE_DEPENDS tools/*_main.cpp)
list(FILTER mains EXCLUDE REGEX gateway_main)
foreach(main ${mains})
    get_filename_component(name ${main} NAME_WE)
    string(REGEX REPLACE "_main$" "" name ${name})
    string(REPLACE "_" "-" name ${name})
    # Further files of a binary are named after it: tools/load_*.cpp belong to foxtaildyke-load.
    string(REPLACE "-" "_" stem ${name})
    file(GLOB parts CONFIGURE_DEPENDS tools/${stem}_*.cpp)
    add_executable(foxtaildyke-${name} ${parts})
    target_link_libraries(foxtaildyke-${name} PRIVATE foxtaildyke-adapters)
endforeach()
