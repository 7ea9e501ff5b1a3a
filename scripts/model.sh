#!/usr/bin/env bash
# Checks models/handover.pml with spin: the complete model must have no error,
# and each variant without one protection must have one.
set -u
models=$(cd "$(dirname "$0")/../models" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0
check() { # EXPECTED-ERRORS(0 or 1) DEFINE
  (cd "$work" && spin -a ${2:+-D$2} "$models/handover.pml" >spin.log 2>&1 &&
    gcc -O2 -DSAFETY -w -o pan pan.c && ./pan -m100000 >pan.log 2>&1)
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$work/pan.log")
  states=$(sed -n 's/^ *\([0-9]*\) states, stored.*/\1/p' "$work/pan.log")
  printf 'model handover %-12s %s states, errors: %s\n' "${2:-as-is}" "$states" "$errors"
  [ "$([ "${errors:-x}" = 0 ] && echo 0 || echo 1)" = "$1" ] && [ -n "$errors" ] || failed=1
}
check 0 ""
for define in NO_BARRIER NO_FREEZE TAKE_OLD NO_LEASE; do check 1 $define; done
exit $failed
