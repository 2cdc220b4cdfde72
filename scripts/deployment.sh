# Starts and stops the processes of a sample deployment. Sourced by run.sh.
#
# start_log DIR PORT          start the stand-in of the platform's log
# start_instance DIR NAME     start the stand-in target and the daemon of an instance
# lose_instance NAME          kill both processes of an instance
# stop_all                    stop every process that was started here

BIN="${BIN:-bin}"
RUN_DIR="${RUN_DIR:-run}"
PIDS=()
declare -A DAEMON_PID TARGET_PID

spawn() { # LOG-FILE COMMAND...
  local out="$1"
  shift
  "$@" >"$out" 2>&1 &
  SPAWNED=$!
  PIDS+=("$SPAWNED")
}

setting() { # FILE SECTION-OR-EMPTY KEY: the value of "key: value" in a settings file
  sed -n "s/^ *$2: *//p" "$1" | head -n 1
}

start_log() {
  spawn "$RUN_DIR/log.out" "$BIN/standin-log" --listen "127.0.0.1:$1"
}

start_instance() {
  local file="$1/daemons/$2.yaml"
  local address slots conns
  address="$(setting "$file" address)"
  slots="$(setting "$file" slots)"
  conns="$(setting "$file" connections)"
  spawn "$RUN_DIR/$2.target.out" "$BIN/standin-target" --listen "$address" --slots "$slots" \
    --connections "$conns" --name "$2" --runs "$RUN_DIR/$2.runs"
  TARGET_PID[$2]=$SPAWNED
  spawn "$RUN_DIR/$2.out" "$BIN/parsleyd" --settings "$file"
  DAEMON_PID[$2]=$SPAWNED
}

lose_instance() {
  kill -KILL "${DAEMON_PID[$1]}" "${TARGET_PID[$1]}"
}

instances() { # DIR: the names of the deployment's instances
  local f
  for f in "$1"/daemons/*.yaml; do
    basename "$f" .yaml
  done
}

stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do
    kill -TERM "$pid" 2>/dev/null
  done
  for pid in "${PIDS[@]}"; do
    wait "$pid" 2>/dev/null
  done
}
