#!/usr/bin/env bash
# Runs both sample deployments in parallel under open-loop load and a fault plan
# generated from a seed, and checks the results against the targets' records.
# Exits with a non-zero code if any guarantee was violated.
# Usage: SEED=n MINUTES=m RATE=requests-a-second scripts/faults.sh
set -uo pipefail
cd "$(dirname "$0")/.."
RUN_DIR="${RUN_DIR:-run/faults}"
SPAWN_WITH=setsid # otherwise a stopped process gets SIGHUP when its process group becomes orphaned
. scripts/deployment.sh
. scripts/faultactions.sh

SEED="${SEED:-1}"
MINUTES="${MINUTES:-3}"
RATE="${RATE:-150}"      # requests per second for each deployment
TWO_SHARE="${TWO_SHARE:-0.12}"
LENGTH=$((MINUTES * 60)) # seconds of load
DEPLOYMENTS=(perizia raumtafel)
declare -A LOG_PORT=([perizia]=11900 [raumtafel]=12900)
declare -A LINK_PORT=([perizia]=11800 [raumtafel]=12800)
declare -A PROBES=([perizia]="bookings-1 payments-1" [raumtafel]="room-booking-1 release-and-agenda-1")
declare -A PROBED=([perizia]=reports [raumtafel]=door-panel-status)

rm -rf "$RUN_DIR"
mkdir -p "$RUN_DIR"
trap stop_started EXIT
trap 'exit 130' INT TERM

fail() {
  printf 'faults: %s\n' "$*" >&2
  exit 1
}

for dep in "${DEPLOYMENTS[@]}"; do
  prepare "$dep"
  start_log "${LOG_PORT[$dep]}"
  LOG_PID[$dep]=$SPAWNED
  start_links "$dep"
  for name in $(instances "$RUN_DIR/$dep"); do
    start_instance "$RUN_DIR/$dep" "$name"
    STATE[$name]=up
  done
  publish_initial "$dep" || fail "the configuration of $dep was not accepted"
done
for dep in "${DEPLOYMENTS[@]}"; do
  wait_served "$RUN_DIR/$dep" 60 || fail "$dep did not assign all ranges within 60 s; see $RUN_DIR"
done

if [ -n "${PLAN:-}" ]; then
  cp "$PLAN" "$RUN_DIR/plan"
else
  plan_dirs=()
  for dep in "${DEPLOYMENTS[@]}"; do
    plan_dirs+=("$dep=$RUN_DIR/$dep/daemons")
  done
  "$BIN/parsley-faultplan" --seed "$SEED" --duration "${LENGTH}s" --two-share "$TWO_SHARE" --links \
    "${plan_dirs[@]}" >"$RUN_DIR/plan" || fail "cannot generate the fault plan"
fi

for dep in "${DEPLOYMENTS[@]}"; do
  start_load "$dep"
  start_probes "$dep"
done
load_before="$(cut -d' ' -f1-3 /proc/loadavg)"
execute_plan "$RUN_DIR/plan"

verdict=0
for dep in "${DEPLOYMENTS[@]}"; do
  wait "${BENCH_PID[$dep]}" || verdict=1
  unset "BENCH_PID[$dep]"
  stop_probes "$dep"
  final_status "$dep" || verdict=1
done
for dep in "${DEPLOYMENTS[@]}"; do
  printf '\n== %s\n' "$dep"
  cat "$RUN_DIR/$dep/bench.out"
  echo
  "$BIN/parsley-faultreport" --dir "$RUN_DIR" --deployment "$dep" --probed "${PROBED[$dep]}" \
    --length "${LENGTH}s" --plot "$RUN_DIR/$dep/plot.svg" | tee "$RUN_DIR/$dep/report.txt" || verdict=1
done
echo
echo "machine: $(nproc) processors, load average $load_before before and $(cut -d' ' -f1-3 /proc/loadavg) after"
[ "$verdict" -eq 0 ] || fail "a guarantee was violated; see $RUN_DIR (seed $SEED, $MINUTES minutes)"
echo "faults: no guarantee was violated (seed $SEED, $MINUTES minutes)"
