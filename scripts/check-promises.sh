#!/usr/bin/env bash
# Checks that each test and command that docs/PROMISES.md names exists.
# Usage: scripts/check-promises.sh [run]   run: also run the tests named
set -euo pipefail
cd "$(dirname "$0")/.."

GO="${GO:-go}"
PAGE="${PAGE:-docs/PROMISES.md}"
failed=0

fail() {
  printf '%s: %s\n' "$PAGE" "$*" >&2
  failed=1
}

# The text between backticks, one piece a line; a table writes | as \|.
commands="$(grep -o '`[^`]*`' "$PAGE" | tr -d '`' | sed 's/\\|/|/g' | sort -u)"

declare -A listed # tests and benchmarks of each package

list_tests() { # PACKAGE
  [ -n "${listed[$1]:-}" ] || listed[$1]="$("$GO" test -list . "$1")"
}

check_test() { # PACKAGE PATTERN
  local name
  for name in ${2//|/ }; do
    grep -qx "$name" <<<"${listed[$1]}" || fail "there is no test $name in $1"
  done
}

check_bench() { # PACKAGE PATTERN
  grep -q "^Benchmark.*${2#Benchmark}" <<<"${listed[$1]}" || fail "there is no benchmark $2 in $1"
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
    fail "the tests of $package can't be listed"
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
    fail "there is no program $program"
    return
  }
  help="$("$GO" run "$program" --help)" || fail "$program --help fails"
  for name in $(grep -oE -- '--[a-z-]+' <<<"$1"); do
    grep -q -- "$name" <<<"$help" || fail "$program has no option $name"
  done
}

check_make() {
  grep -qE "^$1:" Makefile || fail "there is no make target $1"
}

checked=0
while IFS= read -r command; do
  case "$command" in
    "go test "*) check_go_test "$command" ;;
    "go run "*) check_go_run "$command" ;;
    "make "*) check_make "${command#make }" ;;
    scripts/*) [ -x "${command%% *}" ] || fail "there is no script ${command%% *}" ;;
    *) continue ;;
  esac
  checked=$((checked + 1))
done <<<"$commands"
[ "$checked" -gt 0 ] || fail "it names no test and no command"

if [ "${1:-}" = run ]; then
  while IFS= read -r command; do
    case "$command" in
      *" -bench "*) ;;
      "go test "*) sh -c "$command" || fail "\`$command\` fails" ;;
    esac
  done < <(sed -E "s/-run ([^' ]+)/-run '\1'/" <<<"$commands")
fi
exit "$failed"
