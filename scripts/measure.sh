#!/usr/bin/env bash
# Measures the series for the capacity page and generates the page from them.
# Usage: scripts/measure.sh [output directory]
set -euo pipefail
cd "$(dirname "$0")/.."

out="${1:-docs/capacity/series}"
bin="${BIN:-bin}"
log_addr="${MEASURE_LOG:-127.0.0.1:27490}"
commit="$(git rev-parse --short=12 HEAD)"
if [ -n "$(git status --porcelain --untracked-files=no)" ]; then
	commit="$commit with local changes"
fi

"$bin/standin-log" --listen "$log_addr" --append-rate 0 >/dev/null &
log_pid=$!
trap 'kill "$log_pid" 2>/dev/null || true' EXIT
for _ in $(seq 50); do
	if (exec 3<>"/dev/tcp/${log_addr%:*}/${log_addr##*:}") 2>/dev/null; then break; fi
	sleep 0.1
done

"$bin/parsley-measure" --out "$out" --commit "$commit" parts
"$bin/parsley-measure" --out "$out" --commit "$commit" log --addr "$log_addr"
if [ "${PROCESSES:-1}" = 1 ]; then
	BIN="$bin" scripts/measure-processes.sh "$out"
fi
"$bin/parsley-capacity" --series "$out"
