#!/usr/bin/env bash
# Measures the recovery from each fault alone, and writes results/recovery.md.
# "none" is a run without a fault and gives the baseline.
# Usage: scripts/recovery.sh [SEED]. RECOVERY_LANES: fleets in parallel (5).
set -uo pipefail
cd "$(dirname "$0")/.."
seed=${1:-1}
lanes=${RECOVERY_LANES:-5}
export FLEET_BUILD=${FLEET_BUILD:-build}
mkdir -p results run
faults="none@5000+3000 kill:noa-salta-1@5000 term:noa-salta-1@5000 pause:noa-salta-1@5000+3000 cut:noa-jujuy@5000+3000
outage@5000+3000 slow@5000+3000 lose:20@5000 pause:platform@5000+3000 backend:BACKEND/0=silent@5000+3000
backend:BACKEND/0=fail@5000+3000 backend:BACKEND/0=leaving@5000+3000"

one() { # NUMBER FAULT
  FLEET_BASE=$((20000 + $1 * 2000))
  FLEET_RUN=run/recovery$1
  . scripts/fleet.sh
  trap fleet_stop EXIT
  local fault=${2/BACKEND/$((FLEET_BASE + 1000))}
  fleet_start > "$FLEET_RUN.log" 2>&1 || return 1
  fleet_load --seed "$seed" --length_ms 16000 --jobs_per_s 60 --max_tasks 4 --faults "$fault" \
    --result "results/recovery-$3.json" > "results/recovery-$3.txt"
}

index=0
for fault in $faults; do
  (one $((index % lanes)) "$fault" "$index") &
  index=$((index + 1))
  [ $((index % lanes)) = 0 ] && wait
done
wait
{
  echo "| fault | recovered after (ms) | jobs failed or slow | jobs failed | wasted messages | violations |"
  echo "| --- | --- | --- | --- | --- | --- |"
  index=0
  for fault in $faults; do
    awk -v fault="$fault" '
      /^  failed: / { failed += $NF ~ /^[0-9]+$/ ? $NF : substr($NF, match($NF, /[0-9]+$/)) }
      /wasted messages/ { waste = $NF }
      /recovered in/ { for (i = 1; i <= NF; i++) { if ($i == "in") ms = $(i + 1); if ($i == "ms,") jobs = $(i + 1) } }
      /started twice|unequal answers|without any answer|but started/ { bad += $NF }
      END { printf "| %s | %s | %s | %d | %s | %d |\n", fault, ms, jobs, failed, waste, bad }' "results/recovery-$index.txt"
    index=$((index + 1))
  done
} | tee results/recovery.md
