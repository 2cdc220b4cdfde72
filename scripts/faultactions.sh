# Executes the actions of a fault plan. Sourced by faults.sh.
#
# prepare DEP           write the settings files of a deployment for this run
# start_links DEP       start the proxy for the links between daemons
# publish_initial DEP   publish the service files of the deployment
# start_load DEP        start the load and the result check of a deployment
# start_probes DEP      start the probes that measure how long keys are unavailable
# stop_probes DEP       stop the probes
# execute_plan PLAN     execute the actions of a plan at their times
# final_status DEP      write the status of all daemons at the end of the run
# stop_started          stop every process started by these functions

declare -A STATE     # by instance: up, down or draining
declare -A PENDING   # by drained instance that is due to restart: its deployment
declare -A CUTS      # by instance: deployment:direction
declare -A LOG_PID BENCH_PID LINK_PID PROBE_PID

event() { # DEP KIND SUBJECT DETAIL
  printf '%s,%s,%s,%s,%s\n' "$(date +%s%N)" "$1" "$2" "$3" "${4//,/;}" >>"$RUN_DIR/events.csv"
}

# prepare maps ports 21000-22999 to 11000-12999, below the range that the kernel
# uses for outgoing connections. Daemons announce ports x14nn, which standin-link
# forwards to x11nn.
prepare() {
  local f port
  mkdir -p "$RUN_DIR/$1/daemons" "$RUN_DIR/$1/publishes"
  cp -r "deploy/$1/services" "$RUN_DIR/$1/services"
  for f in deploy/"$1"/daemons/*.yaml; do
    port="$(sed -n 's/^ *daemons: 127\.0\.0\.1:2\([0-9]*\)/\1/p' "$f")"
    sed -e "s/^\( *\)daemons: .*/&\n\1announce: 127.0.0.1:1$((port + 300))/" \
      -e 's/127\.0\.0\.1:2\([12]\)/127.0.0.1:1\1/' "$f" >"$RUN_DIR/$1/daemons/$(basename "$f")"
  done
}

start_links() { # DEP
  local f routes=()
  for f in "$RUN_DIR/$1"/daemons/*.yaml; do
    routes+=(--route "$(basename "$f" .yaml)=$(setting "$f" announce)=$(setting "$f" daemons)")
  done
  spawn "$RUN_DIR/$1/link.out" "$BIN/standin-link" --control "127.0.0.1:${LINK_PORT[$1]}" "${routes[@]}"
  LINK_PID[$1]=$SPAWNED
}

# set_links sends the current contents of CUTS to standin-link.
set_links() { # DEP
  local name list=""
  for name in "${!CUTS[@]}"; do
    [ "${CUTS[$name]%%:*}" = "$1" ] || continue
    case "${CUTS[$name]#*:}" in
    both) list+="{\"from\":\"$name\",\"to\":\"*\"},{\"from\":\"*\",\"to\":\"$name\"}," ;;
    inbound) list+="{\"from\":\"*\",\"to\":\"$name\"}," ;;
    outbound) list+="{\"from\":\"$name\",\"to\":\"*\"}," ;;
    reset) list+="{\"from\":\"$name\",\"to\":\"*\",\"reset\":true},{\"from\":\"*\",\"to\":\"$name\",\"reset\":true}," ;;
    esac
  done
  curl -s -f -m 5 -X PUT -d "{\"cuts\":[${list%,}]}" "http://127.0.0.1:${LINK_PORT[$1]}/control" >/dev/null ||
    event "$1" control-failed links -
}

log_addr() { echo "127.0.0.1:${LOG_PORT[$1]}"; }

publish_initial() {
  "$BIN/parsley" --json publish --log "$(log_addr "$1")" --operator first "$RUN_DIR/$1/services" \
    >"$RUN_DIR/$1/publishes/0-first.json"
}

entries() { # DEP: the callers' addresses, separated by commas
  sed -n 's/^ *callers: *//p' "$RUN_DIR/$1"/daemons/*.yaml | paste -sd,
}

start_load() {
  local runs=() name
  for name in $(instances "$RUN_DIR/$1"); do
    runs+=(--runs "$RUN_DIR/$name.runs")
  done
  event "$1" load start -
  "$BIN/parsley" bench --entry "$(entries "$1")" --mix "$1" --phases "${RATE}x${LENGTH}s" --keys 2000 \
    --seed "$SEED" --generators 2 --divided --timeline-csv "$RUN_DIR/$1/timeline.csv" "${runs[@]}" \
    >"$RUN_DIR/$1/bench.out" 2>&1 &
  BENCH_PID[$1]=$!
}

# start_probes probes the keys of one service through two daemons, so that the
# failure of one of these daemons does not count as unavailability of keys.
start_probes() { # DEP
  local name
  for name in ${PROBES[$1]}; do
    "$BIN/parsley-probe" watch --entry "$(setting "$RUN_DIR/$1/daemons/$name.yaml" callers)" \
      --service "${PROBED[$1]}" --keys 16 --pause 200ms --least 350ms \
      --out "$RUN_DIR/$1/gaps-$name.csv" >"$RUN_DIR/$1/probe-$name.out" 2>&1 &
    PROBE_PID[$name]=$!
  done
}

stop_probes() { # DEP
  local name
  for name in ${PROBES[$1]}; do
    kill -TERM "${PROBE_PID[$name]}"
    wait "${PROBE_PID[$name]}"
    unset "PROBE_PID[$name]"
  done
}

execute_plan() {
  local start now at dep losses kind subject detail
  start="$(date +%s%N)"
  while read -r at dep losses kind subject detail; do
    now=$((($(date +%s%N) - start) / 1000000))
    if [ "$at" -gt "$now" ]; then
      sleep "$(printf '%d.%03d' $(((at - now) / 1000)) $(((at - now) % 1000)))"
    fi
    restart_pending
    execute_action "$dep" "$losses" "$kind" "$subject" "$detail"
  done <"$1"
}

execute_action() { # DEP LOSSES KIND SUBJECT DETAIL
  case "$3" in
  log) set_log_faults "$1" "$5" ;;
  race) race "$1" "$4" "$5" & ;;
  start) restart "$1" "$4" ;;
  *)
    if [ "${STATE[$4]}" != up ]; then # its drain is still in progress
      event "$1" skipped "$4" "$3"
      return
    fi
    instance_fault "$@"
    return
    ;;
  esac
  event "$1" "$3" "$4" "$5"
}

instance_fault() { # DEP LOSSES KIND INSTANCE DETAIL
  event "$1" "$3" "$4" "$2"
  case "$3" in
  kill)
    STATE[$4]=down
    kill_instance "$4"
    ;;
  pause-daemon) kill -STOP "${DAEMON_PID[$4]}" ;;
  resume-daemon) kill -CONT "${DAEMON_PID[$4]}" ;;
  pause-target) kill -STOP "${TARGET_PID[$4]}" ;;
  resume-target) kill -CONT "${TARGET_PID[$4]}" ;;
  drain)
    STATE[$4]=draining
    drain "$1" "$4" "${DAEMON_PID[$4]}" "${TARGET_PID[$4]}" &
    ;;
  cut)
    CUTS[$4]="$1:$5"
    set_links "$1"
    ;;
  heal)
    unset "CUTS[$4]"
    set_links "$1"
    ;;
  *) event "$1" unknown-kind "$4" "$3" ;;
  esac
}

set_log_faults() { # DEP JSON
  curl -s -f -m 5 -X PUT -d "$2" "http://$(log_addr "$1")/control" >/dev/null ||
    event "$1" control-failed log -
}

# restart starts an instance that is down. An instance whose drain is still in
# progress is started later by restart_pending.
restart() { # DEP INSTANCE
  case "${STATE[$2]}" in
  up) return ;;
  draining)
    if [ -e "$RUN_DIR/$2.drain-refused" ]; then
      rm "$RUN_DIR/$2.drain-refused"
      unset "PENDING[$2]"
      STATE[$2]=up
      return
    fi
    if kill -0 "${TARGET_PID[$2]}" 2>/dev/null; then
      PENDING[$2]=$1
      return
    fi
    ;;
  esac
  unset "PENDING[$2]"
  start_instance "$RUN_DIR/$1" "$2"
  STATE[$2]=up
}

restart_pending() {
  local name
  for name in "${!PENDING[@]}"; do
    restart "${PENDING[$name]}" "$name"
  done
}

# drain sends the drain command for an instance and stops its target after the
# daemon has exited.
drain() { # DEP INSTANCE DAEMON-PID TARGET-PID
  if ! "$BIN/parsley" --timeout 5s drain --admin "$(setting "$RUN_DIR/$1/daemons/$2.yaml" admin)" --operator faults \
    --reason "failure run" "$2" >"$RUN_DIR/$2.drain.out" 2>&1; then
    : >"$RUN_DIR/$2.drain-refused"
    event "$1" drain-refused "$2" -
    return
  fi
  while kill -0 "$3" 2>/dev/null; do
    sleep 0.05
  done
  event "$1" drained "$2" -
  kill -TERM "$4"
}

# race makes two operators plan from the same state and publish concurrently.
race() { # DEP SERVICE "FIRST,SECOND"
  local number dir operator value
  number="$(date +%s%N)"
  dir="$RUN_DIR/$1/races/$number"
  for operator in first second; do
    value="${3%,*}"
    [ "$operator" = second ] && value="${3#*,}"
    mkdir -p "$dir/$operator"
    sed "s/^queue_limit: .*/queue_limit: $value/" "$RUN_DIR/$1/services/$2.parsley.yaml" >"$dir/$operator/$2.parsley.yaml"
    "$BIN/parsley" --timeout 5s plan --log "$(log_addr "$1")" --out "$dir/$operator.plan" "$dir/$operator" >"$dir/$operator.out" 2>&1 || return
  done
  for operator in first second; do
    "$BIN/parsley" --json --timeout 5s publish --log "$(log_addr "$1")" --operator "$operator" \
      --plan "$dir/$operator.plan" "$dir/$operator" >"$RUN_DIR/$1/publishes/$number-$operator.json" 2>>"$dir/$operator.out" &
  done
  wait
}

final_status() {
  "$BIN/parsley" --json status --daemons "$RUN_DIR/$1/daemons" >"$RUN_DIR/$1/status.json" 2>"$RUN_DIR/$1/status.err"
  [ -s "$RUN_DIR/$1/status.json" ]
}

stop_started() {
  local name pid pids=()
  for name in "${!DAEMON_PID[@]}"; do
    [ "${STATE[$name]:-down}" = down ] && continue
    pids+=("${DAEMON_PID[$name]}" "${TARGET_PID[$name]}")
  done
  pids+=("${LOG_PID[@]}" "${BENCH_PID[@]}" "${LINK_PID[@]}" "${PROBE_PID[@]}")
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
}
