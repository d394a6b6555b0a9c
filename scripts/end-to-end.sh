#!/usr/bin/env bash
# Runs the real programs end to end on loopback and checks what callers and
# operators see. Waits for conditions, not for fixed times.
# Usage: end-to-end.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/.."
FLEET_BUILD=${1:-build}
FLEET_RUN=$(mktemp -d)

free_base() {
  local base offset taken
  for base in 21000 23000 25000 27000 29000 15000 17000 19000; do
    taken=no
    for offset in 0 101 102 201 202 301 302 1000 1001; do
      (exec 3<> "/dev/tcp/127.0.0.1/$((base + offset))") 2> /dev/null && taken=yes
    done
    [ $taken = no ] && echo $base && return
  done
  echo "no free ports" >&2
  exit 1
}
FLEET_BASE=$(free_base)
. scripts/fleet.sh
trap 'fleet_stop; rm -rf "$FLEET_RUN"' EXIT

passed=0
failed=0
check() { # NAME EXPECTED ACTUAL
  if [ "$2" = "$3" ]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: $1: expected \"$2\", got \"$3\""
  fi
}
contains() { # NAME PART WHOLE
  case $3 in *"$2"*) check "$1" yes yes ;; *) check "$1" "...$2..." "$3" ;; esac
}
until_true() { # COMMAND...
  local tries=0
  until "$@" > /dev/null 2>&1; do
    tries=$((tries + 1))
    [ $tries -gt 600 ] && echo "FAILED: never true: $*" && return 1
    sleep 0.05
  done
}

has_ended() { ! kill -0 "$1"; }
phase_has() { curl -s "$(callers 1)/v1/jobs/$cancelled" | grep -q "$1"; }
callers() { echo "http://127.0.0.1:$((FLEET_BASE + 100 + $1))"; }
count=0
new_id() {
  count=$((count + 1))
  local hex
  hex=$(printf '%012x' "$(date +%s%3N)")
  ID="${hex:0:8}-${hex:8:4}-7000-8000-$(printf '%012x' $count)"
}
# Sets STATUS and BODY.
post() { # INSTANCE ID BODY [TIMEOUT]
  local answer
  answer=$(curl -s -m 110 -w '\n%{http_code}' -X POST ${2:+-H "Marjorambend-Job-Id: $2"} \
    -H 'Marjorambend-Team: liquida' -H "Marjorambend-Timeout-Ms: ${4:-20000}" \
    --data-binary @- "$(callers "$1")/v1/jobs" <<< "$3")
  STATUS=${answer##*$'\n'}
  BODY=${answer%$'\n'*}
}
job() { echo "{\"kind\":\"lot-pricing\",\"tasks\":[$1]}"; }

# Two instances of one data centre, two backend servers.
echo '[{"name":"w0","address":"127.0.0.1","port":'$((FLEET_BASE + 1000))',"data_centre":"one","slots":8,"connections":64},
{"name":"w1","address":"127.0.0.1","port":'$((FLEET_BASE + 1001))',"data_centre":"one","slots":8,"connections":64}]' \
  > "$FLEET_RUN/workers.json"
"$FLEET_BUILD/tools/platformstandin" --port "$FLEET_BASE" --lag_ms 100 --workers "$FLEET_RUN/workers.json" &
FLEET_PIDS+=($!)
disown
"$FLEET_BUILD/tools/backendstandin" --servers 2 --slowness 1,2 --first_port $((FLEET_BASE + 1000)) &
FLEET_PIDS+=($!)
disown
FLEET_FLAGS="--request_timeout_ms 1000 --stop_delay_ms 100 --list_poll_ms 200 --max_body_bytes 100000"
fleet_start_instance one-1 one 1
fleet_start_instance one-2 one 2
until_true curl -s -o /dev/null "$(callers 1)/livez"
check "not ready without a catalogue" 503 "$(curl -s -o /dev/null -w '%{http_code}' "$(callers 1)/readyz")"

# Operators.
"$FLEET_BUILD/tools/loadtool" --print_catalogue |
  sed 's/"max_run_ms": 8000/"max_run_ms": 120000/' > "$FLEET_RUN/good.json"
echo '{"kinds":[{"name":"k","owner":"nobody","urgency":9}],"teams":[]}' > "$FLEET_RUN/bad.json"
fleet_ctl validate "$FLEET_RUN/bad.json" 2> "$FLEET_RUN/problems"
check "a wrong catalogue is refused" 1 $?
contains "with every problem" "urgency" "$(cat "$FLEET_RUN/problems")"
contains "and its owner" "nobody" "$(cat "$FLEET_RUN/problems")"
until_true fleet_ctl wait-ready 0 
contains "a catalogue is applied" "version 1 is accepted" "$(fleet_ctl --expect=0 --wait_ms=30000 apply "$FLEET_RUN/good.json" 2>&1)"
fleet_ctl --expect=0 apply "$FLEET_RUN/good.json" 2> "$FLEET_RUN/problems"
check "a lost race is refused" 1 $?
contains "with the winner" "version 1 is in force" "$(cat "$FLEET_RUN/problems")"
check "no differences" "no differences" "$(fleet_ctl diff "$FLEET_RUN/good.json")"
MARJORAMBEND_OPERATOR_SECRET=wrong-secret fleet_ctl show 2> "$FLEET_RUN/problems"
check "a wrong secret is refused" 3 $?
until_true fleet_ctl --wait_ms=30000 wait-ready 2
contains "instances are listed" "one-2" "$(fleet_ctl instances)"

# Jobs.
new_id
post 1 "$ID" "$(job '"run=5 a","run=5 b","run=5 c"')"
check "a job is complete" 200 "$STATUS"
contains "with all results" "$ID/2/run=5 c" "$BODY"
first=$BODY
post 2 "$ID" "$(job '"run=5 a","run=5 b","run=5 c"')"
check "a resubmission to the other instance is complete" 200 "$STATUS"
check "and has the same answer" "$first" "$BODY"
post 2 "$ID" "$(job '"run=5 other"')"
check "the identity with another job" 409 "$STATUS"
contains "is told so" identity_reused "$BODY"
reserved=$(curl -s -X POST "$(callers 1)/v1/identities?count=1" | grep -o '[0-9a-f]\{8\}-[0-9a-f-]\{27\}')
post 2 "$reserved" "$(job '"run=5"')"
check "a reserved identity runs at its owner" 200 "$STATUS"
large=$(printf '"run=1",%.0s' $(seq 999))'"run=1"'
new_id
post 1 "$ID" "$(job "$large")"
check "a job of a thousand tasks" 200 "$STATUS"

# Bad input.
post 1 "" "$(job '"run=5"')"
check "without identity" 400 "$STATUS"
contains "is told so" missing_identity "$BODY"
new_id
post 1 "$ID" "{"
check "a malformed body" 400 "$STATUS"
contains "is not run" '"outcome":"not_run"' "$BODY"
new_id
post 1 "$ID" '{"kind":"nonsense","tasks":["run=5"]}'
check "an unknown kind" 404 "$STATUS"
contains "is not run" '"outcome":"not_run"' "$BODY"
new_id
post 1 "$ID" "$(job '"run=5"')" 0
check "a deadline in the past" 408 "$STATUS"
contains "is told so" deadline_passed "$BODY"
new_id
post 1 "$ID" "$(job "\"$(head -c 150000 /dev/zero | tr '\0' x)\"")"
check "a body that is too large" 413 "$STATUS"
slow=$( (exec 3<> "/dev/tcp/127.0.0.1/$((FLEET_BASE + 101))"
  printf 'POST /v1/jobs HTTP/1.1\r\nHost: x\r\n' >&3
  cat <&3) | tr -d '\r')
contains "headers that arrive too slowly" "HTTP/1.1 408 Request Timeout" "$slow"
contains "are told so, with a typed outcome" "Marjorambend-Outcome: may_have_run" "$slow"
post 1 00000000-0000-7000-8000-000000000001 "$(job '"run=5"')"
check "an identity that has expired" 410 "$STATUS"

# Cancel, drain, kill, stop.
new_id
post 1 "$ID" "$(job '"run=100000"')" 110000 > "$FLEET_RUN/cancelled" &
cancelled=$ID
until_true phase_has active
curl -s -o /dev/null -X DELETE "$(callers 2)/v1/jobs/$cancelled"
wait $!
until_true phase_has '"reason":"cancelled"'
contains "a cancelled job" '"reason":"cancelled"' "$(curl -s "$(callers 1)/v1/jobs/$cancelled")"
contains "a drain is in force everywhere" "in force at 2 of 2" "$(fleet_ctl --wait_ms=30000 drain worker/w0)"
check "and is listed" worker/w0 "$(fleet_ctl drains)"
new_id
post 1 "$ID" "$(job '"run=5"')"
check "the other worker serves" 200 "$STATUS"
fleet_ctl --wait_ms=30000 undrain worker/w0 > /dev/null
contains "jobs can be followed" '"outcome"' "$(fleet_ctl job "$ID")"
contains "counters are printed" marjorambend_jobs_submitted_total "$(fleet_ctl counters)"
new_id
post 1 "$ID" "$(job '"run=5"')"
kill -KILL "${FLEET_PID[one-1]}"
post 2 "$ID" "$(job '"run=5"')"
check "a job whose holder was killed" 502 "$STATUS"
contains "may have run" '"outcome":"may_have_run"' "$BODY"
new_id
post 2 "$ID" "$(job '"run=5"')"
check "another job is served" 200 "$STATUS"
doubled=$(curl -s "http://127.0.0.1:$((FLEET_BASE + 1000))/stats" | grep -o '"doubled":[0-9]*')
check "no task has started twice" '"doubled":0' "$doubled"
kill -TERM "${FLEET_PID[one-2]}"
until_true has_ended "${FLEET_PID[one-2]}"
contains "a planned stop ends" "stopped" "$(tail -n 1 "$FLEET_RUN/one-2.log")"

# Settings.
"$FLEET_BUILD/daemon/marjorambend" --check > /dev/null 2>&1
check "right settings" 0 $?
"$FLEET_BUILD/daemon/marjorambend" --check --caller_port=0 --address=here > "$FLEET_RUN/problems" 2>&1
check "wrong settings" 2 $?
check "are all reported" 2 "$(grep -c . "$FLEET_RUN/problems")"

echo "end to end: $passed passed, $failed failed"
[ "$failed" = 0 ]
