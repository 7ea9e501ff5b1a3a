#!/usr/bin/env bash
# Tests scripts/compare-policies.sh with a fake bench: paired differences, spread,
# loads, a failing run, and resuming an interrupted comparison.
set -u
top=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
echo 'node = { };' >"$work/settings.cfg"
printf 'x = @LOAD@\n' >"$work/load.toml"
# The score G is 0.5 + seed / 100, minus 0.1 with the added setting.
cat >"$work/bench.sh" <<'BENCH'
day=$1 seed=$2 report=$3 settings=$4
echo "$day $seed" >>"${settings%/*}/plays"
[ "$seed" != 9 ] || { echo "given up"; exit 3; }
less=0
grep -q without "$settings" && less=0.1
jq -n --argjson seed "$seed" --argjson less "$less" \
  '{G: (0.5 - $less + $seed / 100), served: 1, breaks: {},
    all: {n: 10, refused: 1, failed: 2},
    classes: [{name: "swift", n: 4, in_aim: 3}, {name: "slow", n: 6, in_aim: 3},
              {name: "none", n: 0, in_aim: 0}]}' >"$report"
BENCH
run() {
  "$top/scripts/compare-policies.sh" --output "$work/out" --settings "$work/settings.cfg" \
    --bench "sh $work/bench.sh {day} {seed} {report} $work/settings.cfg" \
    --way all --way 'no-news=without = ( "news" );' --site a.toml \
    --day "$work/load.toml" --loads "0.5 2" --urgent swift --seeds "$1" 2>"$work/errors"
}
check() { # WHAT EXPECTED FOUND
  [ "$2" = "$3" ] || { echo "$1: expected '$2', found '$3'"; exit 1; }
}
run "1 2" >"$work/table" || { cat "$work/errors"; exit 1; }
check plays 8 "$(wc -l <"$work/plays")"
check "settings are as before" 'node = { };' "$(cat "$work/settings.cfg")"
check ways '["0.5 all","0.5 no-news","2 all","2 no-news"]' \
  "$(jq -c 'map(.load + " " + .way)' "$work/out/summary.json")"
check difference -0.1 "$(jq '.[1].difference * 1000 | round / 1000' "$work/out/summary.json")"
check pairs 2 "$(jq '.[3].pairs' "$work/out/summary.json")"
check "spread of pairs" 0 "$(jq '.[3].difference_spread * 1000 | round' "$work/out/summary.json")"
check "spread of worth" 7 "$(jq '.[3].worth_spread * 1000 | round' "$work/out/summary.json")"
check urgent 0.75 "$(jq '.[0].urgent_in_aim' "$work/out/summary.json")"
check others 0.5 "$(jq '.[0].other_in_aim' "$work/out/summary.json")"
check "in aim" 0.6 "$(jq '.[0].in_aim' "$work/out/summary.json")"
grep -q '| a | load-2 | no-news | 2 | 0.415 |' "$work/table" ||
  { cat "$work/table"; exit 1; }
run "1 2 9" >/dev/null
check "exit with failed plays" 1 $?
check "only new plays were played" 12 "$(wc -l <"$work/plays")"
check "failed plays are named" 4 "$(grep -c '^failed (3): .*given up' "$work/errors")"
echo done
