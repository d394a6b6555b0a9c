#!/usr/bin/env bash
# Runs clang-tidy on every source file of the product, in parallel.
# Usage: scripts/run-clang-tidy.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files 'coordination/marjorambend/*.cpp' 'transport/marjorambend/*.cpp' \
  'platform/*.cpp' 'daemon/*.cpp' 'ctl/*.cpp' 'tools/*.cpp' 'bench/*.cpp' |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet \
  --extra-arg=-Wno-unknown-warning-option -p "$1"
