#!/usr/bin/env bash
# The soak over real processes: fresh seeds for about SECONDS, then every seed
# that ever failed (tests/soak/regressions). Logs of a run that broke a promise
# are kept in build/soak-SEED.
set -u
cd "$(dirname "$0")/.."
build=${1:-build}
seconds=${2:-60}
each=30
failed=0
play() {
  local seed=$1 folder="$build/soak-$1"
  rm -rf "$folder"
  "$build/tests/jaspertrack-soak" --seed "$seed" --seconds "$each" \
    --program "$build/jaspertrack-director" --output "$folder"
  if [ $? -eq 0 ]; then
    rm -rf "$folder"
  else
    grep BROKEN "$folder/events.log"
    failed=1
  fi
}
end=$(($(date +%s) + seconds))
while [ "$(date +%s)" -lt "$end" ]; do
  play $((RANDOM * 32768 + RANDOM))
done
while read -r seed _; do
  case $seed in '' | \#*) continue ;; esac
  play "$seed"
done <tests/soak/regressions
exit $failed
