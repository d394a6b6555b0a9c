#!/usr/bin/env bash
# Measures the overhead of the path through an instance: sends tasks without run
# time to a backend server directly and through one instance, in one run.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
trap fleet_stop EXIT
mkdir -p "$FLEET_RUN"
echo '[{"name":"w0","address":"127.0.0.1","port":'$((FLEET_BASE + 1000))',"data_centre":"one","slots":64,"connections":64}]' > "$FLEET_RUN/workers.json"
"$FLEET_BUILD/tools/platformstandin" --port "$FLEET_BASE" --workers "$FLEET_RUN/workers.json" &
FLEET_PIDS+=($!)
disown
"$FLEET_BUILD/tools/backendstandin" --servers 1 --slots 64 --first_port $((FLEET_BASE + 1000)) &
FLEET_PIDS+=($!)
disown
fleet_start_instance one-1 one 1
"$FLEET_BUILD/tools/loadtool" --print_catalogue > "$FLEET_RUN/catalogue.json"
until fleet_ctl apply "$FLEET_RUN/catalogue.json" > /dev/null 2>&1; do sleep 0.3; done
sleep 1.5
"$FLEET_BUILD/tools/pathbench" --instance "127.0.0.1:$((FLEET_BASE + 101))" \
  --backend "127.0.0.1:$((FLEET_BASE + 1000))" "$@"
ps -o pid=,rss=,time= -p "${FLEET_PID[one-1]}" | awk '{print "instance: resident " $2 " KB, processor time " $3}'
