#!/usr/bin/env bash
# Measures on real processes how evenly load is distributed over the targets of
# the reports service while hot keys change: Zipf(1.1) keys, the 10 hottest change
# every minute. Prints every 5 s the requests of each target and max/mean, and at
# the end the number of ranges granted, split and merged.
# Usage: scripts/measure-balance.sh [seconds] [requests per second]
set -uo pipefail
cd "$(dirname "$0")/.."
RUN_DIR="${RUN_DIR:-run/balance}"
. scripts/deployment.sh

DEPLOY=deploy/perizia
LOG_ADDR=127.0.0.1:21900
LENGTH="${1:-130}"
RATE="${2:-1500}"
SAMPLE=5
PORTS=(21300 21301 21302 21303)

rm -rf "$RUN_DIR"
mkdir -p "$RUN_DIR"
trap stop_all EXIT

start_log 21900
for name in reports-1 reports-2 reports-3 reports-4 bookings-1; do
  start_instance "$DEPLOY" "$name"
done
"$BIN/parsley" publish --log "$LOG_ADDR" --operator measure "$DEPLOY/services/reports.parsley.yaml" >/dev/null || exit 1
sleep 4

started_requests() { # requests started so far by each target, on one line
  local port
  for port in "${PORTS[@]}"; do
    curl -s "http://127.0.0.1:$port/stats" | grep -o '"started":[0-9]*' | cut -d: -f2
  done | paste -sd' '
}

"$BIN/parsley" bench --entry 127.0.0.1:21004 --op 'read:GET:/reports/{key}/page:1:2s' \
  --phases "${RATE}x${LENGTH}s" --keys 20000 --zipf 1.1 --hot 10 --rotation 60s >"$RUN_DIR/bench.out" 2>&1 &
bench=$!
for ((t = 0; t <= LENGTH; t += SAMPLE)); do
  started_requests
  sleep "$SAMPLE"
done | awk '
  NR > 1 {
    max = sum = 0
    for (i = 1; i <= NF; i++) { d = $i - last[i]; sum += d; if (d > max) max = d; printf "%6d", d }
    if (sum > 0) printf "   max/mean %.2f\n", max * NF / sum
  }
  { for (i = 1; i <= NF; i++) last[i] = $i }'
wait "$bench"
tail -n 9 "$RUN_DIR/bench.out"
"$BIN/parsley" audit --log "$LOG_ADDR" --region lombardy --service reports --since 1h | awk 'NR > 1 { print $2 }' | sort | uniq -c
