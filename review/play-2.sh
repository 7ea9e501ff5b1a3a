#!/usr/bin/env bash
# play-2.sh NUMBER: plays a case. Exits with 1 if the rule was broken, 0 if it held
# and 2 if the case could not run. TROUBLE=0 leaves out its disruption.
# KEEP_LOGS=FOLDER keeps the nodes' logs.
set -u
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$top" || exit 2
if [ ! -x "build-review-2/case-$1" ] || [ ! -x target/jaspertrack-director ]; then
  review/build-2.sh || exit 2
fi
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
"build-review-2/case-$1" "review/$1" "$scratch" target/jaspertrack-director
status=$?
if [ -n "${KEEP_LOGS:-}" ]; then cp "$scratch"/* "$KEEP_LOGS"/; fi
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
