#!/usr/bin/env bash
# Functions that start and stop a small fleet on loopback: the platform
# stand-in, three data centres of instances and backend servers. To be sourced.
#
# FLEET_BUILD   folder of the build            (build)
# FLEET_RUN     folder for logs and files      (run)
# FLEET_PROFILE agencia or fascia              (agencia)
# FLEET_BASE    first port                     (20000)
# FLEET_POLICY  routing policy                 (earliest-completion)
# FLEET_FLAGS   further flags of every instance

FLEET_BUILD=${FLEET_BUILD:-build}
FLEET_RUN=${FLEET_RUN:-run}
FLEET_PROFILE=${FLEET_PROFILE:-agencia}
FLEET_BASE=${FLEET_BASE:-20000}
FLEET_POLICY=${FLEET_POLICY:-earliest-completion}
FLEET_FLAGS=${FLEET_FLAGS:-}
FLEET_SERVERS=17
FLEET_SLOWNESS=1,1.5,2,4
# Slots divided by slowness over the 17 servers of one data centre.
FLEET_THROUGHPUT=85.3
FLEET_PIDS=()
declare -A FLEET_PID

export MARJORAMBEND_OPERATOR_SECRET=${MARJORAMBEND_OPERATOR_SECRET:-fleet-operators}
export MARJORAMBEND_PEER_KEY=${MARJORAMBEND_PEER_KEY:-fleet-instances}

fleet_centres() {
  if [ "$FLEET_PROFILE" = fascia ]; then
    echo "milano torino verona"
  else
    echo "noa-salta noa-jujuy noa-tucuman"
  fi
}

# Prints NAME DATA_CENTRE INDEX of each instance: three, three and two
# instances.
fleet_names() {
  local index=0 centre count k
  for centre in $(fleet_centres); do
    count=3
    [ "$index" = 2 ] && count=2
    for ((k = 1; k <= count; k++)); do echo "$centre-$k $centre $((index * 10 + k))"; done
    index=$((index + 1))
  done
}

fleet_workers_file() {
  local index=0 centre server comma="" name port
  echo "["
  for centre in $(fleet_centres); do
    for ((server = 0; server < FLEET_SERVERS; server++)); do
      name="$centre-worker-$server"
      port=$((FLEET_BASE + 1000 + index * 100 + server))
      echo "$comma{\"name\":\"$name\",\"address\":\"127.0.0.1\",\"port\":$port,\"data_centre\":\"$centre\",\"slots\":8,\"connections\":64}"
      comma=","
    done
    index=$((index + 1))
  done
  echo "]"
}

fleet_start_instance() {
  local name=$1 centre=$2 index=$3
  # shellcheck disable=SC2086
  "$FLEET_BUILD/daemon/marjorambend" --name "$name" --data_centre "$centre" \
    --caller_port $((FLEET_BASE + 100 + index)) \
    --operator_port $((FLEET_BASE + 200 + index)) \
    --peer_port $((FLEET_BASE + 300 + index)) \
    --platform_port "$FLEET_BASE" --routing_policy "$FLEET_POLICY" \
    --trace_file "$FLEET_RUN/$name.trace" $FLEET_FLAGS \
    2>> "$FLEET_RUN/$name.log" &
  FLEET_PID[$name]=$!
  FLEET_PIDS+=($!)
  disown
}

fleet_ctl() {
  "$FLEET_BUILD/ctl/marjorambendctl" \
    --instance "127.0.0.1:$((FLEET_BASE + 201))" "$@"
}

fleet_start() {
  mkdir -p "$FLEET_RUN"
  rm -f "$FLEET_RUN"/*.log "$FLEET_RUN"/*.trace
  fleet_workers_file > "$FLEET_RUN/workers.json"
  "$FLEET_BUILD/tools/platformstandin" --port "$FLEET_BASE" --lag_ms 1000 \
    --workers "$FLEET_RUN/workers.json" &
  FLEET_PIDS+=($!)
  disown
  local index=0 centre name place
  for centre in $(fleet_centres); do
    "$FLEET_BUILD/tools/backendstandin" --servers $FLEET_SERVERS \
      --first_port $((FLEET_BASE + 1000 + index * 100)) \
      --slowness $FLEET_SLOWNESS &
    FLEET_PIDS+=($!)
    disown
    index=$((index + 1))
  done
  while read -r name centre place; do
    fleet_start_instance "$name" "$centre" "$place"
  done < <(fleet_names)
  "$FLEET_BUILD/tools/loadtool" --profile "$FLEET_PROFILE" --print_catalogue \
    --declared_factor "${FLEET_DECLARED:-1}" \
    > "$FLEET_RUN/catalogue.json"
  local tries=0
  until fleet_ctl apply "$FLEET_RUN/catalogue.json" > "$FLEET_RUN/apply.log" 2>&1; do
    tries=$((tries + 1))
    if [ $tries -gt 20 ]; then cat "$FLEET_RUN/apply.log" >&2; return 1; fi
    sleep 0.3
  done
  fleet_ctl wait-ready 8
}

fleet_instances() {
  local name centre place comma=""
  while read -r name centre place; do
    printf '%s%s=127.0.0.1:%d:%d:%d' "$comma" "$name" \
      $((FLEET_BASE + 100 + place)) $((FLEET_BASE + 200 + place)) "${FLEET_PID[$name]}"
    comma=","
  done < <(fleet_names)
}

fleet_load() {
  "$FLEET_BUILD/tools/loadtool" --profile "$FLEET_PROFILE" \
    --platform "127.0.0.1:$FLEET_BASE:${FLEET_PIDS[0]}" --instances "$(fleet_instances)" \
    --backends "127.0.0.1:$((FLEET_BASE + 1000)),127.0.0.1:$((FLEET_BASE + 1100)),127.0.0.1:$((FLEET_BASE + 1200))" \
    --throughput $FLEET_THROUGHPUT "$@"
}

# Ends only the processes started here, by their ids.
fleet_stop() {
  local pid
  for pid in "${FLEET_PIDS[@]}"; do kill -CONT "$pid" 2> /dev/null; kill -KILL "$pid" 2> /dev/null; done
  for pid in "${FLEET_PIDS[@]}"; do
    while kill -0 "$pid" 2> /dev/null; do sleep 0.05; done
  done
  FLEET_PIDS=()
}
