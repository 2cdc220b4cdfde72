#!/usr/bin/env bash
# Checks that every test and command named in docs/PROMISES.md exists.
# Usage: scripts/check-promises.sh [run]   run: also run those tests
set -euo pipefail
cd "$(dirname "$0")/.."

GO="${GO:-go}"
PAGE="${PAGE:-docs/PROMISES.md}"
failed=0

fail() {
  printf '%s: %s\n' "$PAGE" "$*" >&2
  failed=1
}

# The text between backticks, one item per line; tables escape | as \|.
commands="$(grep -o '`[^`]*`' "$PAGE" | tr -d '`' | sed 's/\\|/|/g' | sort -u)"

declare -A listed # tests and benchmarks by package

list_tests() { # PACKAGE
  [ -n "${listed[$1]:-}" ] || listed[$1]="$("$GO" test -list . "$1")"
}

check_test() { # PACKAGE PATTERN
  local name
  for name in ${2//|/ }; do
    grep -qx "$name" <<<"${listed[$1]}" || fail "test $name does not exist in $1"
  done
}

check_bench() { # PACKAGE PATTERN
  grep -q "^Benchmark.*${2#Benchmark}" <<<"${listed[$1]}" || fail "benchmark $2 does not exist in $1"
}

option() { # NAME COMMAND: the value of an option
  sed -nE "s/.* -$1 '?([^' ]+)'?.*/\1/p" <<<"$2"
}

check_go_test() {
  local package pattern bench
  package="$(awk '{print $3}' <<<"$1")"
  pattern="$(option run "$1")"
  bench="$(option bench "$1")"
  list_tests "$package" || {
    fail "cannot list the tests of $package"
    return
  }
  if [ -n "$bench" ]; then
    check_bench "$package" "$bench"
  elif [ -n "$pattern" ]; then
    check_test "$package" "$pattern"
  else
    fail "\`$1\` names no test"
  fi
}

check_go_run() {
  local program help name
  program="$(awk '{print $3}' <<<"$1")"
  [ -f "$program/main.go" ] || {
    fail "program $program does not exist"
    return
  }
  help="$("$GO" run "$program" --help)" || fail "$program --help fails"
  for name in $(grep -oE -- '--[a-z-]+' <<<"$1"); do
    grep -q -- "$name" <<<"$help" || fail "$program has no option $name"
  done
}

check_make() {
  grep -qE "^$1:" Makefile || fail "make target $1 does not exist"
}

checked=0
while IFS= read -r command; do
  case "$command" in
    "go test "*) check_go_test "$command" ;;
    "go run "*) check_go_run "$command" ;;
    "make "*) check_make "${command#make }" ;;
    scripts/*) [ -x "${command%% *}" ] || fail "script ${command%% *} does not exist or is not executable" ;;
    *) continue ;;
  esac
  checked=$((checked + 1))
done <<<"$commands"
[ "$checked" -gt 0 ] || fail "no test and no command found"

if [ "${1:-}" = run ]; then
  while IFS= read -r command; do
    case "$command" in
      *" -bench "*) ;;
      "go test "*) sh -c "$command" || fail "\`$command\` fails" ;;
    esac
  done < <(sed -E "s/-run ([^' ]+)/-run '\1'/" <<<"$commands")
fi
exit "$failed"
