# Starts and stops the processes of a sample deployment. Sourced by run.sh,
# faults.sh and the measure-*.sh scripts that start processes.
#
# start_log PORT              start the stand-in of the platform log
# start_instance DIR NAME     start the stand-in target and the daemon of an instance
# kill_instance NAME          send SIGKILL to both processes of an instance
# stop_all                    stop every process started by these functions

BIN="${BIN:-bin}"
RUN_DIR="${RUN_DIR:-run}"
PIDS=()
declare -A DAEMON_PID TARGET_PID

spawn() { # LOG-FILE COMMAND...
  local out="$1"
  shift
  ${SPAWN_WITH:-} "$@" >>"$out" 2>&1 &
  SPAWNED=$!
  PIDS+=("$SPAWNED")
}

setting() { # FILE SECTION-OR-EMPTY KEY: the value of "key: value" in a settings file
  sed -n "s/^ *$2: *//p" "$1" | head -n 1
}

start_log() {
  spawn "$RUN_DIR/log-$1.out" "$BIN/standin-log" --listen "127.0.0.1:$1"
}

start_instance() {
  local file="$1/daemons/$2.yaml"
  local address slots conns service
  address="$(setting "$file" address)"
  slots="$(setting "$file" slots)"
  conns="$(setting "$file" connections)"
  service="$(setting "$file" service)"
  spawn "$RUN_DIR/$2.target.out" "$BIN/standin-target" --listen "$address" --slots "$slots" \
    --connections "$conns" --name "$2" --service "$service" --runs "$RUN_DIR/$2.runs" ${TARGET_FLAGS:-}
  TARGET_PID[$2]=$SPAWNED
  spawn "$RUN_DIR/$2.out" "$BIN/parsleyd" --settings "$file"
  DAEMON_PID[$2]=$SPAWNED
}

kill_instance() {
  kill -KILL "${DAEMON_PID[$1]}" "${TARGET_PID[$1]}"
  wait "${DAEMON_PID[$1]}" "${TARGET_PID[$1]}" 2>/dev/null
}

instances() { # DIR: the names of the deployment's instances
  local f
  for f in "$1"/daemons/*.yaml; do
    basename "$f" .yaml
  done
}

stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do # a second SIGTERM ends a daemon without a drain
    kill -TERM "$pid" 2>/dev/null
  done
  sleep 0.2
  for pid in "${PIDS[@]}"; do
    kill -TERM "$pid" 2>/dev/null
  done
  for pid in "${PIDS[@]}"; do
    wait "$pid" 2>/dev/null
  done
}

# wait_served DIR SECONDS [KILLED-INSTANCE]: waits until the cell of every
# service has assigned all its ranges, none of them to the killed instance.
wait_served() {
  local services deadline=$((SECONDS + $2))
  services="$(find "$1/services" -type f | wc -l)"
  while [ "$SECONDS" -lt "$deadline" ]; do
    "$BIN/parsley" status --daemons "$1/daemons" >"$RUN_DIR/status.out" 2>/dev/null
    if [ "$(grep -c '^Cell .* leader [^-].* [1-9][0-9]* ranges' "$RUN_DIR/status.out")" -eq "$services" ] &&
      ! grep -q 'have no owner' "$RUN_DIR/status.out" &&
      ! grep -q "^  ${3:-none}#.* [1-9][0-9]*\$" "$RUN_DIR/status.out"; then
      return 0
    fi
    sleep 0.1
  done
  return 1
}
