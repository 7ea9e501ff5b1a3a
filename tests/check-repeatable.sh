#!/usr/bin/env bash
# Tests that a run is deterministic: equal seeds give equal output, others differ.
set -eu
[ "$("$1" run "$2" --seed 3)" = "$("$1" run "$2" --seed 3)" ]
[ "$("$1" run "$2" --seed 3)" != "$("$1" run "$2" --seed 4)" ]
