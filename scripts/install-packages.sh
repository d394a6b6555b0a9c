#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
set -euo pipefail
run=""
[ "$(id -u)" = 0 ] || run=sudo
# Another package command may hold the lock for a while.
lock="-o DPkg::Lock::Timeout=60"
$run apt-get $lock update -qq
DEBIAN_FRONTEND=noninteractive $run apt-get $lock install -y -qq --no-install-recommends \
  g++ cmake ninja-build git gawk curl clang-format clang-tidy \
  libevent-dev libevhtp-dev libssl-dev libflatbuffers-dev flatbuffers-compiler \
  libgflags-dev libspdlog-dev libexpected-dev nlohmann-json3-dev libxxhash-dev \
  libpcg-cpp-dev libyaml-cpp-dev libcpputest-dev librapidcheck-dev libbenchmark-dev > /dev/null
