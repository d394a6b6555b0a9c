#!/usr/bin/env bash
# Replaces every instance in turn by a graceful stop, under load, for several
# rounds. Exits with 0 if no connection broke and no answer was lost or wrong.
# Usage: scripts/rolling.sh [SEED] [ROUNDS]
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
trap fleet_stop EXIT
seed=${1:-1}
rounds=${2:-2}
fleet_start || exit 1
length=$((rounds * 8 * 5500 + 3000))
fleet_load --seed "$seed" --length_ms "$length" --jobs_per_s 18 \
  --result "$FLEET_RUN/rolling-$seed.json" > "$FLEET_RUN/rolling.txt" &
load=$!
sleep 1
replaced=0
forced=0
for ((round = 0; round < rounds; round++)); do
  while read -r name centre place; do
    pid=${FLEET_PID[$name]}
    kill -TERM "$pid"
    while kill -0 "$pid" 2> /dev/null; do sleep 0.1; done
    grep -q "stopped$" "$FLEET_RUN/$name.log" || forced=$((forced + 1))
    fleet_start_instance "$name" "$centre" "$place"
    replaced=$((replaced + 1))
    sleep 1.5
  done < <(fleet_names)
done
wait "$load"
status=$?
cat "$FLEET_RUN/rolling.txt"
broken=$(awk '/connections broken/ {print $3}' "$FLEET_RUN/rolling.txt")
echo "  instances replaced                  $replaced"
echo "  stops that had to be forced         $forced"
[ "$status" = 0 ] && [ "$broken" = 0 ] && [ "$forced" = 0 ]
