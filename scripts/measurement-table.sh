#!/usr/bin/env bash
# Prints a Markdown table from the JSON lines of scripts/experiments.sh: for each
# scenario and policy, over all seeds, the sums of broken flows and violations,
# medians of imbalance, refusals and relayed packets, and maxima of the rest.
set -eu
jq -rs '
  def med: sort | .[(length - 1) / 2 | floor];
  def r(n): . * pow(10; n) | round / pow(10; n);
  ["scenario","policy","seeds","broken","violations","imbalance p50","p99","share deficit p99","refused","relayed fraction","control B/s mean","busiest minute"],
  ["---","---","--:","--:","--:","--:","--:","--:","--:","--:","--:","--:"],
  (group_by([.scenario, (.policy | if . == "jaspertrack" then "0" else . end)])[] | [
    .[0].scenario, .[0].policy, length,
    (map(.flows_broken) | add), (map(.violation_count) | add),
    (map(.imbalance_p50) | med | r(3)), (map(.imbalance_p99) | med | r(3)),
    (map(.group_share_deficit_p99) | max | r(2)),
    (map(.requests_refused) | med),
    (map(.relayed_packets_part) | med | r(3)),
    (map(.control_bytes_per_node_s_mean) | max | r(0)),
    (map(.control_bytes_per_node_s_max) | max | r(0))])
  | "| " + (map(tostring) | join(" | ")) + " |"' "$@"
