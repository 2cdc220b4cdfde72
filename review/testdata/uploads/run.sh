#!/usr/bin/env bash
# Runs the case with the stand-ins of review/testdata/standins. TROUBLE=0 leaves out the
# disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
dir="$(cd "$(dirname "$0")" && pwd)"
cd "$dir/../../.."
for program in target/bin/parsley-sidecar target/bin/review-standins; do
  [ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build.sh"; exit 2; }
done
export TROUBLE="${TROUBLE:-1}"
exec target/bin/review-standins uploads "$dir/record.txt"
