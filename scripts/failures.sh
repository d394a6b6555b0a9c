#!/usr/bin/env bash
# Runs a load through a fleet while instances are killed, frozen and cut off
# and the platform fails. Exits with 0 if no task started twice, no answer was
# partial or missing, and nothing that ran was refused as not run.
# Usage: scripts/failures.sh [SEED]
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
trap fleet_stop EXIT
seed=${1:-1}
read -r first second third < <(fleet_centres)
fleet_start || exit 1
base=$((FLEET_BASE + 1000))
fleet_load --seed "$seed" --length_ms 24000 --jobs_per_s 22 --resubmit_share 0.2 \
  --result "$FLEET_RUN/failures-$seed.json" \
  --faults "kill:$first-2@4000;pause:$second-1@6000+3000;lose:20@8000;outage@10000+4000;cut:$third@15500+3000;backend:$base/3=silent@5000+4000;backend:$base/5=fail@9000+4000;backend:$((base + 100))/1=leaving@12000+6000;slow@19000+2500;pause:platform@22000+1500;kill:$third-1@20000;pause:$first-1@21000+1500"
