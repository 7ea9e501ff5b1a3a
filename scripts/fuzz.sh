#!/usr/bin/env bash
# Runs libFuzzer on all targets, for SECONDS in total. Failing inputs are stored
# in fuzz/found/. Usage: scripts/fuzz.sh SECONDS
set -u
cd "$(dirname "$0")/.."
seconds=${1:-60}
cmake -S . -B build-fuzz -G Ninja -DCMAKE_C_COMPILER=clang -DJT_FUZZ=ON \
  -DJT_SANITIZE=address >/dev/null || exit 1
cmake --build build-fuzz --target libfuzzer >build-fuzz/build.log 2>&1 ||
  { tail -30 build-fuzz/build.log; exit 1; }
mkdir -p fuzz/found
failed=0
run() { # TARGET SECONDS MAX-LENGTH
  work=$(mktemp -d)
  echo "== $1 for $2 s"
  ASAN_OPTIONS=detect_leaks=0 "build-fuzz/tests/libfuzzer_$1" -max_total_time="$2" \
    -max_len="$3" -print_final_stats=1 -seed=1 -artifact_prefix="fuzz/found/$1-" \
    "$work" "fuzz/corpus/$1" >"$work.log" 2>&1 || { failed=1; tail -20 "$work.log"; }
  grep -E 'number_of_executed_units|DONE' "$work.log"
  rm -rf "$work" "$work.log"
}
part=$((seconds / 11))
[ $part -gt 0 ] || part=1
for target in packet message resource settings document; do run $target $part 1000; done
run shared_labels $part 1200
run director $((3 * part)) 4000
run cluster $((seconds - 9 * part > 0 ? seconds - 9 * part : 1)) 400
exit $failed
