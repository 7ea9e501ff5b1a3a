#!/usr/bin/env bash
# Runs all checks: formatter and linters, the model, all tests under
# AddressSanitizer and UndefinedBehaviorSanitizer, the threaded test under
# ThreadSanitizer, and a short soak. Tests in KNOWN-RED.txt are listed and
# excluded.
set -u
cd "$(dirname "$0")/.."
build=${1:-build-check}
failed=0
step() { echo "== $*"; }

step "format and lint"
scripts/lint.sh || failed=1

step "platform names"
scripts/platform-names.sh || failed=1

step "model"
scripts/model.sh || failed=1

step "build with address and undefined behaviour sanitizers"
cmake -S . -B "$build" -G Ninja -DJT_SANITIZE=address >/dev/null &&
  cmake --build "$build" >"$build/build.log" 2>&1 ||
  { tail -40 "$build/build.log"; exit 1; }
step "circular dependencies"
scripts/dependency-cycles.sh "$build" || failed=1

step "build with thread sanitizer"
cmake -S . -B "$build-thread" -G Ninja -DJT_SANITIZE=thread >/dev/null &&
  cmake --build "$build-thread" --target test_traffic >"$build-thread/build.log" 2>&1 ||
  { tail -40 "$build-thread/build.log"; exit 1; }
step "threads"
TSAN_OPTIONS="halt_on_error=1 suppressions=$PWD/tests/tsan.supp" "$build-thread/tests/test_traffic" || failed=1

red=$(grep -v '^#' KNOWN-RED.txt | cut -d: -f1 | tr -d ' ' | grep .)
if [ -n "$red" ]; then
  step "known failures, excluded"
  grep -v '^#' KNOWN-RED.txt
  exclude=$(echo "$red" | paste -sd'|')
fi
step "tests"
# lwIP, argtable and others never free some of their memory.
export ASAN_OPTIONS=detect_leaks=0
ctest --test-dir "$build" -j "$(nproc)" --output-on-failure \
  ${exclude:+-E "^($exclude)$"} || failed=1

# Runs real processes with AddressSanitizer, unless it is a known failure.
if ! echo "$red" | grep -qx jaspertrack-soak; then
  step "soak"
  scripts/soak.sh "$build" short 4 || failed=1
fi
exit $failed
