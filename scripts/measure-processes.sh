#!/usr/bin/env bash
# Measures the CPU time and the memory of real daemons: idle, by the number of
# members in the cell, and as entry and owner, by requests per second.
# Usage: scripts/measure-processes.sh [output directory]
set -euo pipefail
cd "$(dirname "$0")/.."

OUT="${1:-docs/capacity/series}"
REST_MEMBERS="${REST_MEMBERS-3 4 5 6 7}"
REQUEST_RATES="${REQUEST_RATES-250 500 1000 2000 2650}"
WATCH="${WATCH:-20s}"
SETTLE="${SETTLE:-6}" # seconds
BASE_PORT="${BASE_PORT:-24000}"
RUN_DIR="$(mktemp -d)"
. scripts/deployment.sh
COMMIT="$(git rev-parse --short=12 HEAD)"
LOG_PORT=$((BASE_PORT + 900))

cleanup() {
  stop_all || true
  rm -rf "$RUN_DIR"
}
trap cleanup EXIT

write_settings() { # DIR SERVICE NUMBER PORT-OFFSET
  local port=$((BASE_PORT + $4))
  mkdir -p "$1/daemons" "$1/services"
  cat >"$1/daemons/$2-$3.yaml" <<EOF
instance: $2-$3
region: lombardy
availability_zone: lombardy-$(($3 % 3))
service: $2
listen:
  callers: 127.0.0.1:$port
  daemons: 127.0.0.1:$((port + 100))
  admin: 127.0.0.1:$((port + 200))
target:
  address: 127.0.0.1:$((port + 300))
  slots: 20
  connections: 130
platform_log:
  address: 127.0.0.1:$LOG_PORT
tls: {insecure: true}
EOF
  cp "deploy/perizia/services/$2.parsley.yaml" "$1/services/"
}

start() { # DIR: starts the log and all instances, then publishes the services
  local name
  start_log "$LOG_PORT"
  sleep 0.5
  for name in $(instances "$1"); do start_instance "$1" "$name"; done
  sleep 1
  "$BIN/parsley" publish --log "127.0.0.1:$LOG_PORT" --operator measure "$1/services" >/dev/null
  sleep "$SETTLE"
}

stop() {
  stop_all || true
  PIDS=()
}

role() { # DIR ROLE: the instance that has the role in the cell of reports
  "$BIN/parsley" status --daemons "$1/daemons" --service reports |
    sed -n "s/^Cell 0 of reports .*$2 \([a-z0-9-]*\)#.*/\1/p" | head -n 1
}

watch() { # SIZE BY LABEL=PID...
  local size="$1" by="$2" args=()
  shift 2
  for p in "$@"; do args+=(--process "$p"); done
  "$BIN/parsley-measure" --out "$OUT" --commit "$COMMIT" watch --size "$size" --by "$by" --duration "$WATCH" "${args[@]}"
}

measure_idle() { # MEMBERS
  local dir="$RUN_DIR/rest-$1" i leader deputy member
  for i in $(seq "$1"); do write_settings "$dir" reports "$i" "$i"; done
  start "$dir"
  leader="$(role "$dir" leader)"
  deputy="$(role "$dir" deputy)"
  member="$(instances "$dir" | grep -vx -e "$leader" -e "$deputy" | head -n 1)"
  watch "$1" "members of its cell, without requests" "daemon-leader=${DAEMON_PID[$leader]}" \
    "daemon-deputy=${DAEMON_PID[$deputy]}" "daemon-member=${DAEMON_PID[$member]}"
  stop
}

measure_under_load() {
  local dir="$RUN_DIR/requests" rate load
  write_settings "$dir" reports 1 1
  write_settings "$dir" bookings 1 2
  # 1 ms keeps the target from being the bottleneck.
  TARGET_FLAGS="--service-time 1ms" start "$dir"
  for rate in $REQUEST_RATES; do
    "$BIN/parsley" bench --entry "127.0.0.1:$((BASE_PORT + 2))" --op 'report:GET:/reports/{key}:1:2s' \
      --zipf 0 --phases "${rate}x$((${WATCH%s} + 4))s" >"$RUN_DIR/bench-$rate.out" &
    load=$!
    sleep 2
    watch "$rate" "requests a second" "entry-request=${DAEMON_PID[bookings-1]}" "owner-request=${DAEMON_PID[reports-1]}"
    wait "$load" || true
    cat "$RUN_DIR/bench-$rate.out"
  done
  stop
}

for members in $REST_MEMBERS; do measure_idle "$members"; done
measure_under_load
