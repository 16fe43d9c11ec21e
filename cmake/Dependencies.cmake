# All external libraries of the project. All come from Debian packages: deploy/system.toml lists those
# that a build of the programs needs, scripts/install-dependencies.sh lists them too and adds those for
# tests, checks and plots (scripts/check-packages.sh compares the lists).
find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json)
find_package(Protobuf REQUIRED)
find_package(absl REQUIRED)
find_package(spdlog REQUIRED)
find_package(fmt REQUIRED)
find_package(CLI11 REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(prometheus-cpp REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(TOMLPLUSPLUS REQUIRED IMPORTED_TARGET tomlplusplus)
if(POSTHATCH_TESTS)
  find_package(GTest REQUIRED)
  find_package(benchmark REQUIRED)
endif()

# Header-only Boost parts, compiled once in src/posthatch/net/boost_instances.cc.
add_library(posthatch_boost INTERFACE)
target_link_libraries(posthatch_boost INTERFACE Boost::boost Boost::json Threads::Threads)
target_compile_definitions(posthatch_boost INTERFACE
  BOOST_ASIO_SEPARATE_COMPILATION
  BOOST_ASIO_NO_DEPRECATED
  BOOST_BEAST_SEPARATE_COMPILATION)
