#!/usr/bin/env bash
# Builds what the scripts of the cases 6 and later start, besides the daemon: one program that
# has the stand-ins for clients, backends and the platform.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/bin/ ./review/testdata/fleet2
