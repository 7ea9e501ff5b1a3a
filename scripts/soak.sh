#!/usr/bin/env bash
# Runs the soak test with real processes: random seeds for about SECONDS, then
# the seeds in tests/soak/regressions and the fault schedules in
# tests/soak/faults, with JOBS parallel runs of NODES nodes each. SECONDS 0 skips
# the random seeds; "short" runs the fixed seeds of CI and the fault schedules.
# Logs of a failed run are kept in BUILD/soak-SEED.
# Usage: soak.sh BUILD SECONDS|short [JOBS [NODES]]
set -u
cd "$(dirname "$0")/.."
build=${1:-build}
seconds=${2:-60}
jobs=${3:-1}
nodes=${4:-5}
run_seconds=30
short_run_seconds=15
short_seeds="1 2 3"
queue=$(mktemp -d)

# Print the runs for the workers as lines "NAME OPTIONS...".
list_fault_runs() {
  for file in tests/soak/faults/*.faults; do
    echo "$(basename "$file" .faults) --seed 1 --seconds $short_run_seconds --faults $file"
  done
}
list_runs() {
  if [ "$seconds" = short ]; then
    for seed in $short_seeds; do
      echo "$seed --seed $seed --seconds $short_run_seconds"
    done
    list_fault_runs
    return
  fi
  for _ in $(seq 1 $(((seconds * jobs + run_seconds + 18) / (run_seconds + 19)))); do
    seed=$((RANDOM * 32768 + RANDOM))
    echo "$seed --seed $seed --seconds $run_seconds"
  done
  while read -r seed _; do
    case $seed in '' | \#*) continue ;; esac
    echo "$seed --seed $seed --seconds $run_seconds"
  done <tests/soak/regressions
  list_fault_runs
}

run_soak() { # SLOT NAME OPTIONS...
  local slot=$1 name=$2 folder="$build/soak-$2"
  shift 2
  rm -rf "$folder"
  if "$build/tests/jaspertrack-soak" --slot "$slot" --nodes "$nodes" "$@" \
    --program "$build/jaspertrack-director" --output "$folder"; then
    rm -rf "$folder"
  else
    echo "soak: $name violated a property or could not run: $folder"
    grep BROKEN "$folder/events.log"
    touch "$queue/failed"
  fi
}

# Removes and prints the next run; workers are serialised by a lock.
next_run() {
  (
    flock 9
    head -n 1 "$queue/runs"
    sed -i 1d "$queue/runs"
  ) 9>"$queue/lock"
}

worker() { # SLOT
  local line
  while line=$(next_run) && [ -n "$line" ]; do
    # shellcheck disable=SC2086 # options are words
    run_soak "$1" $line
  done
}

list_runs >"$queue/runs"
for slot in $(seq 0 $((jobs - 1))); do
  worker "$slot" &
done
wait
[ ! -e "$queue/failed" ]
result=$?
rm -rf "$queue"
exit $result
