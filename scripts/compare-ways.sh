#!/usr/bin/env bash
# Plays ways x sites x days x seeds by a bench command, and tells how the ways
# differ, pair by pair: a table, and JSON. Begun plays that are in OUTPUT are
# not played again, so that a call that was ended goes on where it was.
#
# Usage: scripts/compare-ways.sh --output DIR [OPTION...]
#   --output DIR           results.jsonl, summary.json and table.md go there
#   --bench COMMAND        plays one day: {site}, {day}, {seed} and {report}
#                          (a file to write) are filled in; without it only
#                          the table of what is there is made
#   --way NAME[=SETTINGS]  the first one is what others are compared with;
#                          SETTINGS are added to those of the nodes, such as
#                          no-news='without = ( "news" );'
#   --site FILE, --day DAY each may come several times
#   --loads "0.5 1 2"      a day file with @LOAD@ in it is played for each
#   --seeds "1 2 3"        default "1"
#   --urgent KIND,...      kinds of requests that are told apart
#   --settings FILE        of the nodes (platform/settings.cfg)
# Exit: 0 all played, 1 some plays failed (named on standard error), 2 usage.
set -u
top=$(cd "$(dirname "$0")/.." && pwd)
settings=$top/platform/settings.cfg
output='' bench='' loads='' seeds=1 urgent=''
ways=() sites=() days=()
usage() { sed -n '2,/^set -u/p' "$0" | sed '$d; s/^# \{0,1\}//' >&2; exit 2; }
while [ $# -gt 0 ]; do
  [ $# -ge 2 ] || usage
  case $1 in
    --output) output=$2 ;;
    --bench) bench=$2 ;;
    --way) ways+=("$2") ;;
    --site) sites+=("$2") ;;
    --day) days+=("$2") ;;
    --loads) loads=$2 ;;
    --seeds) seeds=$2 ;;
    --urgent) urgent=$2 ;;
    --settings) settings=$2 ;;
    *) usage ;;
  esac
  shift 2
done
[ -n "$output" ] || usage
mkdir -p "$output/days"
results=$output/results.jsonl
touch "$results"

# Day files as they are played: "LOAD DAY" a line, LOAD - where it has none.
day_list() {
  local day load file
  for day in "${days[@]}"; do
    if [ -f "$day" ] && grep -q '@LOAD@' "$day"; then
      for load in $loads; do
        file=$output/days/load-$load.toml
        sed "s/@LOAD@/$load/g" "$day" >"$file"
        echo "$load $file"
      done
    else
      echo "- $day"
    fi
  done
}

# The settings are the nodes' own file for the time of one play.
kept=''
restore() { [ -z "$kept" ] || { cp "$kept" "$settings"; rm "$kept"; kept=''; }; }
trap restore EXIT
trap 'exit 1' INT TERM
play() { # NAME SETTINGS SITE LOAD DAY SEED
  local report=$output/report.json log=$output/play.log command status=0
  command=${bench//'{site}'/$3}
  command=${command//'{day}'/$5}
  command=${command//'{seed}'/$6}
  command=${command//'{report}'/$report}
  rm -f "$report"
  kept=$(mktemp)
  cp "$settings" "$kept"
  [ -z "$2" ] || printf '%s\n' "$2" >>"$settings"
  bash -c "$command" >"$log" 2>&1 </dev/null || status=$?
  restore
  jq -ce --arg urgent "$urgent" -f "$top/platform/report.jq" "$report" \
    >"$output/one.json" 2>/dev/null || {
    echo "failed ($status): $1 $3 $5 seed $6: $(tail -1 "$log")" >&2
    return 1
  }
  jq -c --arg way "$1" --arg site "$(basename "$3" .toml)" --arg load "$4" \
    --arg day "$(basename "$5" .toml)" --argjson seed "$6" \
    '{way: $way, site: $site, day: $day, load: $load, seed: $seed} + .' \
    "$output/one.json" >>"$results"
}
played() { # NAME SITE DAY SEED
  jq -e --arg way "$1" --arg site "$(basename "$2" .toml)" \
    --arg day "$(basename "$3" .toml)" --argjson seed "$4" -s \
    'any(.way == $way and .site == $site and .day == $day and .seed == $seed)' \
    "$results" >/dev/null
}

failed=0
if [ -n "$bench" ]; then
  [ ${#ways[@]} -gt 0 ] && [ ${#sites[@]} -gt 0 ] && [ ${#days[@]} -gt 0 ] || usage
  list=$(day_list)
  count=0
  all=$(($(echo "$list" | wc -l) * $(echo "$seeds" | wc -w) * ${#sites[@]} * ${#ways[@]}))
  for seed in $seeds; do
    for site in "${sites[@]}"; do
      while read -r load day; do
        for way in "${ways[@]}"; do
          name=${way%%=*} extra=''
          [ "$way" = "$name" ] || extra=${way#*=}
          count=$((count + 1))
          echo "$count/$all $name $(basename "$site") $(basename "$day") seed $seed" >&2
          played "$name" "$site" "$day" "$seed" ||
            play "$name" "$extra" "$site" "$load" "$day" "$seed" || failed=1
        done
      done <<<"$list"
    done
  done
fi
base=${ways[0]:-}
jq -s --arg base "${base%%=*}" -f "$top/scripts/compare-ways.jq" "$results" \
  >"$output/summary.json" || exit 1
jq -r -f "$top/scripts/compare-ways-table.jq" "$output/summary.json" |
  tee "$output/table.md"
exit $failed
