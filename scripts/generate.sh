#!/usr/bin/env bash
# Generates code and the settings page from the schemas. CI checks that the
# committed results are up to date.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --cpp-std c++17 --scoped-enums -o transport/generated \
  transport/schema/peer.fbs transport/schema/fleet.fbs
flatc --cpp --cpp-std c++17 --gen-object-api --scoped-enums \
  -o transport/generated transport/schema/settings.fbs
awk -v mode=flags -f scripts/generate-settings.awk transport/schema/settings.fbs \
  > transport/generated/Settings.def
awk -v mode=page -f scripts/generate-settings.awk transport/schema/settings.fbs \
  > docs/SETTINGS.md
awk -f scripts/generate-counters.awk \
  coordination/marjorambend/src/Support/Counters.def > docs/METRICS.md
awk -f scripts/generate-logs.awk \
  coordination/marjorambend/src/Fleet/LogLines.def > docs/LOGS.md
