#!/usr/bin/env bash
# Installs the packages, builds, and runs the main job; see demo.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake -S . -B build -G Ninja -DMARJORAMBEND_BUILD_TESTS=OFF > /dev/null
ninja -C build | tail -n 1
exec scripts/demo.sh "$@"
