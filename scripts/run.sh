#!/usr/bin/env bash
# Runs the Perizia Casa sample deployment on loopback: publishes its
# configuration, sends reads, bookings and deposits through several daemons,
# kills an instance, drains another, and prints the outcomes of all requests.
# Exits with a non-zero code if any guarantee was violated.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/deployment.sh

DEPLOY=deploy/perizia
LOG_PORT=21900
LOG_ADDR="127.0.0.1:$LOG_PORT"
ENTRIES=127.0.0.1:21003,127.0.0.1:21006,127.0.0.1:21008 # reports-4, bookings-3, payments-2
KILLED=reports-2
DRAINED=bookings-2
PHASES="${PHASES:-300x26s}"
KILL_AFTER=6  # seconds after the start of the load
DRAIN_AFTER=8 # seconds after the kill

rm -rf "$RUN_DIR"
mkdir -p "$RUN_DIR"
trap stop_all EXIT

step() { printf '\n== %s\n' "$*"; }

fail() {
  printf 'run: %s\n' "$*" >&2
  exit 1
}

step "starting the log and the instances"
start_log "$LOG_PORT"
for name in $(instances "$DEPLOY"); do
  start_instance "$DEPLOY" "$name"
done

step "publishing the configuration"
"$BIN/parsley" check "$DEPLOY/services" || fail "the service files have errors"
"$BIN/parsley" publish --log "$LOG_ADDR" --operator anna "$DEPLOY/services" || fail "the configuration was not accepted"

step "waiting until every range has an owner"
wait_served "$DEPLOY" 30 || fail "the deployment did not assign all ranges within 30 s; see $RUN_DIR"
"$BIN/parsley" status --daemons "$DEPLOY/daemons"

step "sending requests through three daemons"
runs=()
for name in $(instances "$DEPLOY"); do
  runs+=(--runs "$RUN_DIR/$name.runs")
done
"$BIN/parsley" bench --entry "$ENTRIES" --mix perizia --phases "$PHASES" --keys 2000 --divided \
  --timeline-csv "$RUN_DIR/timeline.csv" "${runs[@]}" >"$RUN_DIR/bench.out" 2>&1 &
bench=$!
sleep "$KILL_AFTER"

step "killing $KILLED with its target"
killed_at="$(date +%s.%N)"
kill_instance "$KILLED"
wait_served "$DEPLOY" 30 "$KILLED" || fail "ranges of $KILLED have no owner 30 s after the kill"
printf 'every range of %s has an owner again %.1f s after the kill\n' "$KILLED" "$(echo "$(date +%s.%N) - $killed_at" | bc)"
"$BIN/parsley" explain --daemons "$DEPLOY/daemons" --service reports k1

sleep "$DRAIN_AFTER"
step "draining $DRAINED"
"$BIN/parsley" drain --daemons "$DEPLOY/daemons" --operator anna --reason "replace the instance" "$DRAINED" || fail "the drain was refused"
wait "${DAEMON_PID[$DRAINED]}"
echo "$DRAINED has handed over its ranges and exited with code $?"

step "summary"
wait "$bench"
verdict=$?
cat "$RUN_DIR/bench.out"
step "audit trail of the cell of reports"
"$BIN/parsley" audit --log "$LOG_ADDR" --region lombardy --service reports | tail -n 12
[ "$verdict" -eq 0 ] || fail "a guarantee was violated (exit code $verdict of the result check)"
echo "run: no guarantee was violated"
