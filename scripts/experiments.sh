#!/usr/bin/env bash
# Runs all scenarios with all policies, several fleets in parallel, and writes
# results/table.md, results/table.tsv and, if gnuplot is there,
# results/table.png. Usage: scripts/experiments.sh [SEEDS] [PROFILES] [SCENARIOS]
# EXPERIMENT_LANES: fleets in parallel (5).
set -uo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-"1 2"}
profiles=${2:-"agencia fascia"}
scenarios=${3:-"steady50 steady80 steady95 capacity burst2 burst5 burst10 load10 failing-worker dead-worker straggler declared-off cancel-wave outage cut-centre retry-storm"}
policies="earliest-completion round-robin random least-outstanding unlimited-retries"
lanes=${EXPERIMENT_LANES:-5}
export FLEET_BUILD=${FLEET_BUILD:-build}
mkdir -p results run

work=$(for profile in $profiles; do for scenario in $scenarios; do
  for seed in $seeds; do for policy in $policies; do
    echo "$scenario $policy $seed $profile"
  done; done; done; done)

lane() {
  local number=$1 index=0 scenario policy seed profile
  while read -r scenario policy seed profile; do
    index=$((index + 1))
    [ $((index % lanes)) = "$number" ] || continue
    FLEET_PROFILE=$profile FLEET_BASE=$((20000 + number * 2000)) \
      FLEET_RUN=run/lane$number scripts/experiment.sh "$scenario" "$policy" \
      "$seed" "results/$profile.$scenario.$policy.$seed.json" ||
      echo "$profile $scenario $policy $seed: not sound or not started"
  done <<< "$work"
}

for ((number = 0; number < lanes; number++)); do lane "$number" & done
wait
"$FLEET_BUILD/tools/resulttable" results
command -v gnuplot > /dev/null && gnuplot scripts/table.gnuplot
