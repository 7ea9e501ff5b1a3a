#!/usr/bin/env bash
# Runs every scenario, policy and seed; prints one JSON object per line.
# Usage: scripts/experiments.sh [SEEDS] [POLICIES] [SCENARIO...]
set -u
top=$(cd "$(dirname "$0")/.." && pwd)
lab=${BUILD:-$top/build}/jaspertrack-lab
seeds=${1:-10}
policies=${2:-jaspertrack label modulo maglev full-relay}
shift 2 2>/dev/null || shift $#
[ $# -gt 0 ] || set -- "$top"/scenarios/*.cfg
for scenario in "$@"; do
  for policy in $policies; do
    for seed in $(seq "$seeds"); do
      printf '%s\0' "$scenario" "$policy" "$seed"
    done
  done
done | xargs -0 -n 3 -P "${JOBS:-4}" sh -c '
  line=$("$0" run "$1" --policy "$2" --seed "$3") || [ $? -eq 1 ] ||
    echo "$1 $2 $3: the run failed" >&2
  # Serialise the output: a long line takes more than one write.
  printf "%s\n" "$line" | flock "$0" cat' "$lab"
exit 0
