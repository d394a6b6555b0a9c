#!/usr/bin/env bash
# Runs the main job: a fleet on loopback and a load of jobs through it, then a
# short table. Flags are passed on to the load tool.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
trap fleet_stop EXIT
fleet_start || exit 1
fleet_load --result "$FLEET_RUN/result.json" --length_ms 22000 "$@"
