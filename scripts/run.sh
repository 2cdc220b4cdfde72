#!/usr/bin/env bash
# Runs the Perizia Casa sample deployment on loopback: publishes its
# configuration, sends reads, bookings and deposits through several daemons,
# kills an instance, drains another, and prints what became of every request.
# Ends with a non-zero exit code if any promise was broken.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/deployment.sh

DEPLOY=deploy/perizia
LOG_PORT=21900
LOG_ADDR="127.0.0.1:$LOG_PORT"
ENTRIES=127.0.0.1:21003,127.0.0.1:21006,127.0.0.1:21008 # reports-4, bookings-3, payments-2
LOST=reports-2
DRAINED=bookings-2
PHASES="${PHASES:-300x26s}"
LOSS_AFTER=6
DRAIN_AFTER=8 # after the loss

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
"$BIN/parsley" check "$DEPLOY/services" || fail "the service files have faults"
"$BIN/parsley" publish --log "$LOG_ADDR" --operator anna "$DEPLOY/services" || fail "the configuration was not accepted"

step "waiting until every range has an owner"
wait_served "$DEPLOY" 30 || fail "the deployment is not served; see $RUN_DIR"
"$BIN/parsley" status --daemons "$DEPLOY/daemons"

step "sending requests through three daemons"
runs=()
for name in $(instances "$DEPLOY"); do
  runs+=(--runs "$RUN_DIR/$name.runs")
done
"$BIN/parsley" bench --entry "$ENTRIES" --mix perizia --phases "$PHASES" --keys 2000 --divided \
  --timeline-csv "$RUN_DIR/timeline.csv" "${runs[@]}" >"$RUN_DIR/bench.out" 2>&1 &
bench=$!
sleep "$LOSS_AFTER"

step "killing $LOST with its target"
lost_at="$(date +%s.%N)"
lose_instance "$LOST"
wait_served "$DEPLOY" 30 "$LOST" || fail "the ranges of $LOST have no owner"
printf 'every range of %s has an owner again %.1f s after the kill\n' "$LOST" "$(echo "$(date +%s.%N) - $lost_at" | bc)"
"$BIN/parsley" explain --daemons "$DEPLOY/daemons" --service reports k1

sleep "$DRAIN_AFTER"
step "draining $DRAINED"
"$BIN/parsley" drain --daemons "$DEPLOY/daemons" --operator anna --reason "replace the instance" "$DRAINED" || fail "the drain was refused"
wait "${DAEMON_PID[$DRAINED]}"
echo "$DRAINED has handed over its ranges and ended with exit code $?"

step "summary"
wait "$bench"
verdict=$?
cat "$RUN_DIR/bench.out"
step "audit trail of the cell of reports"
"$BIN/parsley" audit --log "$LOG_ADDR" --region lombardy --service reports | tail -n 12
[ "$verdict" -eq 0 ] || fail "a promise was broken (exit code $verdict of the judge)"
echo "run: every promise was kept"
