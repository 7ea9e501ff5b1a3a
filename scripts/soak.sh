#!/usr/bin/env bash
# The soak over real processes: fresh seeds for about SECONDS, then every seed
# that ever failed (tests/soak/regressions) and the faults that were kept
# (tests/soak/faults), JOBS runs side by side. With SECONDS 0 only those, with
# "short" the fixed seeds that CI plays. Logs of a run that broke a promise are
# kept in BUILD/soak-SEED. NODES processes in each run.
# Usage: soak.sh BUILD SECONDS|short [JOBS [NODES]]
set -u
cd "$(dirname "$0")/.."
build=${1:-build}
seconds=${2:-60}
jobs=${3:-1}
nodes=${4:-5}
each=30
short_each=15
short_seeds="1 2 3"
queue=$(mktemp -d)

# Lines of "NAME OPTIONS..." that the workers take one after the other.
plan_kept() {
  for file in tests/soak/faults/*.faults; do
    echo "$(basename "$file" .faults) --seed 1 --seconds $short_each --faults $file"
  done
}
plan() {
  if [ "$seconds" = short ]; then
    for seed in $short_seeds; do
      echo "$seed --seed $seed --seconds $short_each"
    done
    plan_kept
    return
  fi
  for _ in $(seq 1 $(((seconds * jobs + each + 18) / (each + 19)))); do
    seed=$((RANDOM * 32768 + RANDOM))
    echo "$seed --seed $seed --seconds $each"
  done
  while read -r seed _; do
    case $seed in '' | \#*) continue ;; esac
    echo "$seed --seed $seed --seconds $each"
  done <tests/soak/regressions
  plan_kept
}

play() { # SLOT NAME OPTIONS...
  local slot=$1 name=$2 folder="$build/soak-$2"
  shift 2
  rm -rf "$folder"
  if "$build/tests/jaspertrack-soak" --slot "$slot" --nodes "$nodes" "$@" \
    --program "$build/jaspertrack-director" --output "$folder"; then
    rm -rf "$folder"
  else
    echo "soak: $name broke a promise, or could not run: $folder"
    grep BROKEN "$folder/events.log"
    touch "$queue/failed"
  fi
}

# The next line of the plan, for one worker at a time.
take() {
  (
    flock 9
    head -n 1 "$queue/plan"
    sed -i 1d "$queue/plan"
  ) 9>"$queue/lock"
}

worker() { # SLOT
  local line
  while line=$(take) && [ -n "$line" ]; do
    # shellcheck disable=SC2086 # options are words
    play "$1" $line
  done
}

plan >"$queue/plan"
for slot in $(seq 0 $((jobs - 1))); do
  worker "$slot" &
done
wait
[ ! -e "$queue/failed" ]
result=$?
rm -rf "$queue"
exit $result
