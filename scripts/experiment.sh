#!/usr/bin/env bash
# Runs one scenario with one policy and one seed on a fleet of its own, and
# writes its result. Usage: scripts/experiment.sh SCENARIO POLICY SEED RESULT
# Further: FLEET_PROFILE, FLEET_BASE, FLEET_RUN, FLEET_BUILD; see fleet.sh.
set -uo pipefail
cd "$(dirname "$0")/.."
scenario=$1
policy=$2
seed=$3
result=$4
FLEET_POLICY=$policy
if [ "$policy" = unlimited-retries ]; then
  FLEET_POLICY=least-outstanding
  FLEET_FLAGS="--unlimited_retries=true"
fi
. scripts/fleet.sh
trap fleet_stop EXIT

# Arrival rate in jobs per second that saturates the workers.
capacity=85
[ "$FLEET_PROFILE" = fascia ] && capacity=109
share() { awk -v c="$capacity" -v s="$1" 'BEGIN { print c * s }'; }
base=$((FLEET_BASE + 1000))
read -r first second third < <(fleet_centres)
load=(--length_ms 12000 --jobs_per_s "$(share 0.5)")
case $scenario in
  steady50) ;;
  steady80) load=(--length_ms 12000 --jobs_per_s "$(share 0.8)") ;;
  steady95) load=(--length_ms 12000 --jobs_per_s "$(share 0.95)") ;;
  capacity) load=(--length_ms 12000 --jobs_per_s "$(share 1.0)") ;;
  burst2 | burst5 | burst10)
    load+=(--burst_at_ms 4000 --burst_length_ms 3000 --burst_factor "${scenario#burst}") ;;
  load10) load=(--length_ms 8000 --jobs_per_s "$(share 10)") ;;
  failing-worker) load+=(--faults "backend:$base/0=fail@3000+6000") ;;
  dead-worker) load+=(--faults "backend:$base/0=silent@3000+6000") ;;
  straggler) load+=(--faults "backend:$base/0=slow@3000+6000") ;;
  declared-off) FLEET_DECLARED=10 ;;
  cancel-wave) load+=(--cancel_share 0.3) ;;
  outage) load+=(--faults "outage@4000+3000") ;;
  cut-centre) load+=(--faults "cut:$second@4000+3000") ;;
  retry-storm) load+=(--resubmit_share 1.0) ;;
  *) echo "unknown scenario $scenario"; exit 2 ;;
esac
fleet_start > "$FLEET_RUN.start.log" 2>&1 || exit 1
fleet_load --seed "$seed" "${load[@]}" --result "$result" > "$result.txt"
