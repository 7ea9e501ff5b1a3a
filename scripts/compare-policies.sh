#!/usr/bin/env bash
# Runs a bench command for all combinations of policies, sites, days and seeds,
# and compares the policies run by run in a table and JSON. Runs whose results
# are in the output directory are skipped, so that an interrupted comparison
# can be resumed.
#
# Usage: scripts/compare-policies.sh --output DIR [OPTION...]
#   --output DIR           directory of results.jsonl, summary.json, table.md
#   --bench COMMAND        command for one run; {site}, {day}, {seed} and
#                          {report} (a file to write) are substituted; without
#                          it, only existing results are summarised
#   --way NAME[=SETTINGS]  the first policy is the baseline of the comparison;
#                          SETTINGS are appended to the nodes' settings, e.g.
#                          no-news='without = ( "news" );'
#   --site FILE, --day DAY may be repeated
#   --loads "0.5 1 2"      load levels for day files that contain @LOAD@
#   --seeds "1 2 3"        default "1"
#   --urgent KIND,...      request classes that are reported separately
#   --settings FILE        settings of the nodes (platform/settings.cfg)
# Exit status: 0 all runs succeeded, 1 some failed (listed on standard error),
# 2 wrong usage.
set -u
top=$(cd "$(dirname "$0")/.." && pwd)
settings=$top/platform/settings.cfg
output='' bench='' loads='' seeds=1 urgent=''
policies=() sites=() days=()
usage() { sed -n '2,/^set -u/p' "$0" | sed '$d; s/^# \{0,1\}//' >&2; exit 2; }
while [ $# -gt 0 ]; do
  [ $# -ge 2 ] || usage
  case $1 in
    --output) output=$2 ;;
    --bench) bench=$2 ;;
    --way) policies+=("$2") ;;
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

# Prints the day files to run as lines "LOAD DAY"; LOAD is - without @LOAD@.
list_days() {
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

# Modifies the settings file of the nodes for one run, then restores it.
saved_settings=''
restore() { [ -z "$saved_settings" ] || { cp "$saved_settings" "$settings"; rm "$saved_settings"; saved_settings=''; }; }
trap restore EXIT
trap 'exit 1' INT TERM
run_bench() { # NAME SETTINGS SITE LOAD DAY SEED
  local report=$output/report.json log=$output/play.log command status=0
  command=${bench//'{site}'/$3}
  command=${command//'{day}'/$5}
  command=${command//'{seed}'/$6}
  command=${command//'{report}'/$report}
  rm -f "$report"
  saved_settings=$(mktemp)
  cp "$settings" "$saved_settings"
  [ -z "$2" ] || printf '%s\n' "$2" >>"$settings"
  bash -c "$command" >"$log" 2>&1 </dev/null || status=$?
  restore
  jq -ce --arg urgent "$urgent" -f "$top/platform/report.jq" "$report" \
    >"$output/one.json" 2>/dev/null || {
    echo "failed ($status): $1 $3 $5 seed $6: $(tail -1 "$log")" >&2
    return 1
  }
  jq -c --arg policy "$1" --arg site "$(basename "$3" .toml)" --arg load "$4" \
    --arg day "$(basename "$5" .toml)" --argjson seed "$6" \
    '{way: $policy, site: $site, day: $day, load: $load, seed: $seed} + .' \
    "$output/one.json" >>"$results"
}
has_result() { # NAME SITE DAY SEED
  jq -e --arg policy "$1" --arg site "$(basename "$2" .toml)" \
    --arg day "$(basename "$3" .toml)" --argjson seed "$4" -s \
    'any(.way == $policy and .site == $site and .day == $day and .seed == $seed)' \
    "$results" >/dev/null
}

failed=0
if [ -n "$bench" ]; then
  [ ${#policies[@]} -gt 0 ] && [ ${#sites[@]} -gt 0 ] && [ ${#days[@]} -gt 0 ] || usage
  day_files=$(list_days)
  count=0
  total=$(($(echo "$day_files" | wc -l) * $(echo "$seeds" | wc -w) * ${#sites[@]} * ${#policies[@]}))
  for seed in $seeds; do
    for site in "${sites[@]}"; do
      while read -r load day; do
        for policy in "${policies[@]}"; do
          name=${policy%%=*} added_settings=''
          [ "$policy" = "$name" ] || added_settings=${policy#*=}
          count=$((count + 1))
          echo "$count/$total $name $(basename "$site") $(basename "$day") seed $seed" >&2
          has_result "$name" "$site" "$day" "$seed" ||
            run_bench "$name" "$added_settings" "$site" "$load" "$day" "$seed" || failed=1
        done
      done <<<"$day_files"
    done
  done
fi
base=${policies[0]:-}
jq -s --arg base "${base%%=*}" -f "$top/scripts/compare-policies.jq" "$results" \
  >"$output/summary.json" || exit 1
jq -r -f "$top/scripts/compare-policies-table.jq" "$output/summary.json" |
  tee "$output/table.md"
exit $failed
