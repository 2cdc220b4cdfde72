#!/usr/bin/env bash
# Runs the tests with the race detector, and a short seeded soak of parsley-sidecar. Skips
# the tests listed in KNOWN-RED.txt and prints them.
set -euo pipefail
cd "$(dirname "$0")/.."

known_red="$(sed -e '/^#/d' -e '/^[[:space:]]*$/d' KNOWN-RED.txt)"
skip=()
if [ -n "$known_red" ]; then
  echo "skipped, see KNOWN-RED.txt:"
  printf '%s\n' "$known_red" | sed 's/^/  /'
  pattern="$(printf '%s\n' "$known_red" | cut -d'|' -f1 |
    sed -e 's/[[:space:]]*$//' -e 's/[.]/\\./g' -e 's#[^/]*#^&$#g' | paste -sd'|')"
  skip=(-skip "$pattern")
fi
# The crowds of memorytest run apart from the load of other packages. They are thousands of
# goroutines, for which the race detector takes gigabytes; the daemons are processes that are not
# built with it in any case. One crowd is run with it for the sake of the test code.
# -count=1: go test does not know that the results depend on the program that the tests start.
crowds=./sidecar/memorytest
mapfile -t others < <("${GO:-go}" list ./... | grep -v "${crowds#.}$")
"${GO:-go}" test -race "${skip[@]}" "${others[@]}"
"${GO:-go}" test -count=1 -race -run '^TestLargeBodies$' "${skip[@]}" "$crowds"
"${GO:-go}" test -count=1 -timeout 30m "${skip[@]}" "$crowds"
"${GO:-go}" build -o bin/ ./cmd/...
PASS_KNOWN_RED=1 BIN=bin SEED=1 MINUTES=0.5 ./scripts/sidecar-faults.sh
