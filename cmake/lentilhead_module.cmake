# Shared compile options of every target.
add_library(lentilhead_options INTERFACE)
target_compile_options(lentilhead_options INTERFACE -Wall -Wextra -Wpedantic -Wno-missing-field-initializers)
# GCC 12 takes the frames of Asio's coroutines for a mismatch of new and delete.
target_compile_options(lentilhead_options INTERFACE $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>)
target_include_directories(lentilhead_options INTERFACE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR})
target_compile_definitions(lentilhead_options INTERFACE LENTILHEAD_VERSION="${PROJECT_VERSION}")
if(LENTILHEAD_SANITIZE)
  target_compile_options(lentilhead_options INTERFACE -fsanitize=${LENTILHEAD_SANITIZE} -fno-omit-frame-pointer)
  target_link_options(lentilhead_options INTERFACE -fsanitize=${LENTILHEAD_SANITIZE})
endif()
if(LENTILHEAD_FUZZ)
  target_compile_options(lentilhead_options INTERFACE -fsanitize=fuzzer-no-link,address)
  target_link_options(lentilhead_options INTERFACE -fsanitize=address)
endif()
target_link_libraries(lentilhead_options INTERFACE
  PkgConfig::SOUP PkgConfig::GLOG PkgConfig::POPT PkgConfig::SODIUM PkgConfig::XXHASH
  PkgConfig::JSONCPP nlohmann_json::nlohmann_json Threads::Threads jsonrpccpp-common
  jsonrpccpp-server jsonrpccpp-client csv)

# One object library compiles the precompiled header that every other target reuses.
file(WRITE ${CMAKE_BINARY_DIR}/precompiled.cc "")
add_library(lentilhead_precompiled OBJECT ${CMAKE_BINARY_DIR}/precompiled.cc)
target_link_libraries(lentilhead_precompiled PUBLIC lentilhead_options)
target_precompile_headers(lentilhead_precompiled PRIVATE
  <algorithm> <chrono> <functional> <map> <memory> <optional> <set> <string> <string_view>
  <variant> <vector> <unordered_map> <nlohmann/json.hpp> <libsoup/soup.h> <boost/leaf.hpp>)

# The same for modules built on Asio and Beast, whose headers take long to read.
add_library(lentilhead_precompiled_net OBJECT ${CMAKE_BINARY_DIR}/precompiled.cc)
target_link_libraries(lentilhead_precompiled_net PUBLIC lentilhead_options)
target_precompile_headers(lentilhead_precompiled_net PRIVATE
  <algorithm> <chrono> <functional> <map> <memory> <optional> <set> <string> <string_view>
  <variant> <vector> <nlohmann/json.hpp> <boost/asio.hpp> <boost/beast.hpp>)

# Declares the library of a module, and its test program when tests/ has sources.
#   lentilhead_module(NAME [NET] DEPS module...)   NET: built on Asio
function(lentilhead_module name)
  cmake_parse_arguments(ARG "NET" "" "DEPS" ${ARGN})
  set(precompiled lentilhead_precompiled)
  if(ARG_NET)
    set(precompiled lentilhead_precompiled_net)
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc
       ${CMAKE_CURRENT_SOURCE_DIR}/internal/*.cc ${CMAKE_CURRENT_SOURCE_DIR}/types/*.cc)
  add_library(lentilhead_${name} STATIC ${sources})
  target_link_libraries(lentilhead_${name} PUBLIC lentilhead_options)
  target_precompile_headers(lentilhead_${name} REUSE_FROM ${precompiled})
  foreach(dep ${ARG_DEPS})
    target_link_libraries(lentilhead_${name} PUBLIC lentilhead_${dep})
  endforeach()
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cc)
  if(tests AND NOT LENTILHEAD_FUZZ)
    add_executable(${name}_tests ${tests})
    target_link_libraries(${name}_tests PRIVATE lentilhead_${name} rapidcheck)
    target_precompile_headers(${name}_tests REUSE_FROM ${precompiled})
    add_test(NAME ${name} COMMAND ${name}_tests)
  endif()
endfunction()

# Declares a program: lentilhead_program(NAME [NET] SOURCES file... DEPS module...)
function(lentilhead_program name)
  cmake_parse_arguments(ARG "NET" "" "SOURCES;DEPS" ${ARGN})
  set(precompiled lentilhead_precompiled)
  if(ARG_NET)
    set(precompiled lentilhead_precompiled_net)
  endif()
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE lentilhead_options)
  target_precompile_headers(${name} REUSE_FROM ${precompiled})
  foreach(dep ${ARG_DEPS})
    target_link_libraries(${name} PRIVATE lentilhead_${dep})
  endforeach()
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
