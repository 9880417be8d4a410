# The gateway around the scheduler library: one static library per layer, and the programs.
find_package(PkgConfig REQUIRED)
pkg_check_modules(GIO REQUIRED IMPORTED_TARGET gio-2.0 gio-unix-2.0)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(ZSTD REQUIRED IMPORTED_TARGET libzstd)
pkg_check_modules(NETTLE REQUIRED IMPORTED_TARGET nettle)
find_package(yaml-cpp REQUIRED)
find_package(spdlog REQUIRED)
find_package(CLI11 REQUIRED)
find_package(nlohmann_json REQUIRED)

# spokewheel_layer(NAME DIRS <dir>... SOURCES <file>... [LINKS <target>...]) adds the library sw_NAME. A layer can only
# include its own headers and those of the layers that it links: its include path is a directory in the build tree with
# symbolic links to just its DIRS.
function(spokewheel_layer name)
  cmake_parse_arguments(L "" "" "DIRS;SOURCES;LINKS" ${ARGN})
  add_library(sw_${name} STATIC ${L_SOURCES})
  target_compile_features(sw_${name} PUBLIC cxx_std_20)
  set(include_dir ${CMAKE_BINARY_DIR}/layers/${name})
  file(MAKE_DIRECTORY ${include_dir})
  foreach(dir ${L_DIRS})
    get_filename_component(parent ${dir} DIRECTORY)
    string(REGEX REPLACE "^src/?" "" below "${parent}")
    file(MAKE_DIRECTORY ${include_dir}/${below})
    get_filename_component(leaf ${dir} NAME)
    file(CREATE_LINK ${CMAKE_SOURCE_DIR}/${dir} ${include_dir}/${below}/${leaf} SYMBOLIC)
  endforeach()
  target_include_directories(sw_${name} PUBLIC ${include_dir})
  target_link_libraries(sw_${name} PUBLIC ${L_LINKS} PRIVATE spokewheel_options)
endfunction()

spokewheel_layer(wire_http DIRS src/wire/http SOURCES src/wire/http/message.cpp src/wire/http/grammar.cpp src/wire/http/request_rule.cpp src/wire/http/digest.cpp
  LINKS PkgConfig::NETTLE)
spokewheel_layer(wire_rsync DIRS src/wire/rsync
  SOURCES src/wire/rsync/bytes.cpp src/wire/rsync/mux.cpp src/wire/rsync/file_list.cpp src/wire/rsync/tokens.cpp
          src/wire/rsync/options.cpp src/wire/rsync/delta.cpp
  LINKS PkgConfig::XXHASH PkgConfig::ZSTD)
spokewheel_layer(wire_peer DIRS src/wire/peer SOURCES src/wire/peer/datagram.cpp src/wire/peer/membership.cpp)
spokewheel_layer(io DIRS src/io SOURCES src/io/loop.cpp src/io/arrival_clock.cpp src/io/receive_stamps.cpp src/io/connection.cpp src/io/connection_arrival.cpp LINKS PkgConfig::GIO)
spokewheel_layer(config DIRS src/config SOURCES src/config/checker.cpp src/config/settings.cpp
  LINKS spokewheel yaml-cpp)
spokewheel_layer(log DIRS src/log SOURCES src/log/log.cpp src/log/descriptor_sink.cpp LINKS spdlog::spdlog)
spokewheel_layer(host DIRS src/host src/invariants SOURCES src/host/host.cpp src/host/attempt_guard.cpp LINKS spokewheel sw_io)
spokewheel_layer(catalogue DIRS src/catalogue
  SOURCES src/catalogue/file_version.cpp src/catalogue/catalogue.cpp LINKS sw_wire_http PkgConfig::XXHASH)
spokewheel_layer(nodes DIRS src/nodes SOURCES src/nodes/node_client.cpp src/nodes/change_feed_reader.cpp
  LINKS sw_host sw_catalogue sw_wire_http)
spokewheel_layer(registry DIRS src/registry
  SOURCES src/registry/node_list_file.cpp src/registry/node_list_poller.cpp src/registry/endpoints.cpp src/registry/node_table.cpp src/registry/endpoint_watcher.cpp
  LINKS sw_config sw_io sw_wire_http sw_wire_peer nlohmann_json::nlohmann_json)
spokewheel_layer(peers DIRS src/peers SOURCES src/peers/peer_link.cpp src/peers/plain_link.cpp LINKS sw_wire_peer sw_io)
spokewheel_layer(fronts DIRS src/fronts
  SOURCES src/fronts/store.cpp src/fronts/request_pacer.cpp src/fronts/rsync/channel.cpp src/fronts/rsync/listing.cpp
          src/fronts/rsync/sending.cpp src/fronts/rsync/receiving.cpp src/fronts/rsync/basis.cpp
          src/fronts/rsync/session.cpp src/fronts/rsync/server.cpp
  LINKS sw_host sw_catalogue sw_config sw_wire_rsync sw_wire_http)
spokewheel_layer(daemon DIRS src/daemon SOURCES src/daemon/daemon.cpp
  LINKS sw_fronts sw_nodes sw_registry sw_peers sw_log)
# A layer of its own, although its directory is below src/fronts: the platform's HTTP front must not include anything of
# the rsync front or the catalogue.
spokewheel_layer(fronts_http DIRS src/fronts/http SOURCES src/fronts/http/check_request.cpp src/fronts/http/decode_request.cpp src/fronts/http/request_reader.cpp src/fronts/http/key_order.cpp src/fronts/http/read_turns.cpp src/fronts/http/request_ids.cpp src/fronts/http/server.cpp src/fronts/http/server_reading.cpp src/fronts/http/server_order.cpp
  LINKS sw_host sw_wire_http)
spokewheel_layer(platform DIRS src/platform
  SOURCES src/platform/configuration.cpp src/platform/dialect.cpp src/platform/startup_node_list.cpp src/platform/change_announcer.cpp src/platform/life_signs.cpp src/platform/report.cpp src/platform/platform_daemon.cpp
  LINKS sw_fronts_http sw_nodes sw_registry sw_peers sw_log spokewheel_settings nlohmann_json::nlohmann_json)
spokewheel_layer(standins DIRS standins SOURCES standins/http_server.cpp standins/storage_node.cpp standins/meter.cpp standins/registry.cpp
  LINKS sw_wire_http sw_io)

function(spokewheel_program name source)
  add_executable(${name} ${source})
  target_compile_definitions(${name} PRIVATE SPOKEWHEEL_VERSION="${PROJECT_VERSION}")
  target_link_libraries(${name} PRIVATE ${ARGN} CLI11::CLI11 spokewheel_options)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  install(TARGETS ${name} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
endfunction()
spokewheel_program(spokewheeld apps/spokewheeld.cpp sw_daemon sw_platform)
spokewheel_layer(kit DIRS kit
  SOURCES kit/process.cpp kit/fleet.cpp kit/trace_checker.cpp kit/rsync_client.cpp kit/bad_day.cpp kit/script.cpp kit/matrix.cpp
  LINKS sw_wire_rsync sw_config)
spokewheel_program(spokewheel-cli apps/spokewheel.cpp sw_config sw_kit)
set_target_properties(spokewheel-cli PROPERTIES OUTPUT_NAME spokewheel)
spokewheel_program(spokewheel-standin apps/standin.cpp sw_standins)

# The soak test: real schedulers under overlapping faults, with their traffic checked (`make soak`).
add_library(spokewheel_faults MODULE kit/soak/fault_shim.cpp)
target_include_directories(spokewheel_faults PRIVATE ${CMAKE_SOURCE_DIR})
target_compile_features(spokewheel_faults PRIVATE cxx_std_20)
target_compile_options(spokewheel_faults PRIVATE -Wall -Wextra -fno-sanitize=all)
target_link_libraries(spokewheel_faults PRIVATE ${CMAKE_DL_LIBS})
set_target_properties(spokewheel_faults PROPERTIES PREFIX "" LIBRARY_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
add_library(sw_soak STATIC kit/soak/reactor.cpp kit/soak/record_checker.cpp kit/soak/process_lifetimes.cpp kit/soak/setting.cpp kit/soak/limit_scenario.cpp kit/soak/busy_client_injector.cpp kit/soak/answer_fault_injector.cpp kit/soak/unsound_request.cpp kit/soak/disk_server.cpp
  kit/soak/agent.cpp kit/soak/port_source.cpp kit/soak/scheduler_process.cpp kit/soak/request.cpp kit/soak/clients.cpp kit/soak/steady_clients.cpp kit/soak/cluster.cpp kit/soak/fault_injector.cpp kit/soak/soak.cpp)
target_include_directories(sw_soak PUBLIC ${CMAKE_SOURCE_DIR})
target_compile_features(sw_soak PUBLIC cxx_std_20)
target_link_libraries(sw_soak PUBLIC sw_wire_http PRIVATE spokewheel_options)
spokewheel_program(spokewheel-soak kit/soak/main.cpp sw_soak)
