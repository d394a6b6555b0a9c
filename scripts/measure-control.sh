#!/usr/bin/env bash
# Measures the overhead of an instance: processor time, memory and control
# traffic, first idle, then at half load. Usage: scripts/measure-control.sh
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
trap fleet_stop EXIT
fleet_start || exit 1
pid=${FLEET_PID[$(fleet_names | head -n 1 | cut -d' ' -f1)]}
ticks() { awk '{print $14 + $15}' "/proc/$pid/stat"; }
counter() { fleet_ctl counters | awk -v n="marjorambend_$1" '$1 == n {print $2}'; }
measure() {
  local seconds=$1 name=$2 t0 t1 b0 b1 s0 s1 rss
  t0=$(ticks) b0=$(counter peer_control_bytes_sent_total) s0=$(counter store_requests_total)
  sleep "$seconds"
  t1=$(ticks) b1=$(counter peer_control_bytes_sent_total) s1=$(counter store_requests_total)
  rss=$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")
  awk -v n="$name" -v t=$((t1 - t0)) -v b=$((b1 - b0)) -v r=$((s1 - s0)) -v s="$seconds" -v m="$rss" \
    -v hz="$(getconf CLK_TCK)" 'BEGIN { printf "%-10s processor %.2f%% of a core, control frames %.2f KB/s, table requests %.1f/s, resident %.1f MB\n", n, 100 * t / hz / s, b / 1000 / s, r / s, m / 1024 }'
}
sleep 2
measure 10 idle
fleet_load --length_ms 14000 --jobs_per_s 42 --reserved_share 1 > "$FLEET_RUN/control.txt" &
sleep 2
measure 10 "half load"
wait $!
