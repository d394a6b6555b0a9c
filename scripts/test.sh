#!/usr/bin/env bash
# Runs all checks: generated code, format, build, linter, tests, tests with
# sanitizers, and an embedding example. Needs the network only to install
# packages.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${MARJORAMBEND_TEST_BUILD:-build-test}

step() { printf '\n== %s\n' "$*"; }

# Tests that KNOWN-RED.txt lists as "ctest: NAME", one name a line.
known_red() { sed -n 's/^ *ctest: *//p' KNOWN-RED.txt; }

# Runs all tests of a build. Those in KNOWN-RED.txt run last and may fail.
run_tests() {
  local build=$1 red name
  red=$(known_red | sed 's/\./\\./g' | paste -sd '|')
  ctest --test-dir "$build" --output-on-failure --timeout 300 -j 4 \
    ${red:+-E "^($red)\$"}
  for name in $(known_red); do
    if ctest --test-dir "$build" --timeout 300 --no-tests=error \
      -R "^${name//./\\.}\$" > "$build-known-red.log" 2>&1; then
      echo "known red, but passes: $name"
    else
      echo "known red, fails: $name"
    fi
  done
}

step "packages"
scripts/install-packages.sh

step "generated code is up to date"
scripts/generate.sh
if [ -n "$(git status --porcelain -- transport/generated docs/SETTINGS.md docs/METRICS.md docs/LOGS.md)" ]; then
  git --no-pager diff --stat -- transport/generated docs/SETTINGS.md docs/METRICS.md docs/LOGS.md
  echo "run scripts/generate.sh and commit its results"
  exit 1
fi

step "format"
git ls-files '*.h' '*.cpp' | grep -v '/generated/' |
  xargs clang-format --dry-run -Werror

step "build"
cmake -S . -B "$BUILD" -G Ninja > "$BUILD-configure.log" 2>&1 ||
  { cat "$BUILD-configure.log"; exit 1; }
ninja -C "$BUILD" | tail -n 1

step "linter"
scripts/run-clang-tidy.sh "$BUILD" > "$BUILD-tidy.log" 2>&1 || {
  grep -E "error|warning:" "$BUILD-tidy.log" | sort -u | head -n 50
  exit 1
}
echo "clang-tidy is clean"

step "installed library and example"
cmake --install "$BUILD" --prefix "$PWD/$BUILD/prefix" > /dev/null
cmake -S examples -B "$BUILD/examples" -G Ninja \
  -DCMAKE_PREFIX_PATH="$PWD/$BUILD/prefix" > /dev/null
ninja -C "$BUILD/examples" | tail -n 1
"$BUILD/examples/worker_choice"

step "build with AddressSanitizer and UBSan"
cmake -S . -B "$BUILD-sanitize" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DCMAKE_CXX_FLAGS_RELWITHDEBINFO="-O1 -g1" -DMARJORAMBEND_SANITIZE=ON > "$BUILD-configure.log" 2>&1 ||
  { cat "$BUILD-configure.log"; exit 1; }
ninja -C "$BUILD-sanitize" | tail -n 1

step "known red tests"
if [ -s KNOWN-RED.txt ]; then cat KNOWN-RED.txt; else echo "none"; fi

step "tests with sanitizers"
run_tests "$BUILD-sanitize"

step "the real programs, end to end, with sanitizers"
scripts/end-to-end.sh "$BUILD-sanitize"

step "the real programs, end to end"
scripts/end-to-end.sh "$BUILD"

step "tests"
run_tests "$BUILD"
