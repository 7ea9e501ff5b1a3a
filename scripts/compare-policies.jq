# Summarises runs (lines of results.jsonl) in one object per site, day and policy:
# means, standard deviations, and differences from policy $base for the same site,
# day and seed.
def mean: if length > 0 then add / length else null end;
def deviation: if length < 2 then 0 else mean as $m | (map(pow(. - $m; 2)) | add / (length - 1) | sqrt) end;
(if $base == "" then .[0].way else $base end) as $base
| . as $all
| def base_runs($run): $all[] | select(.way == $base and .site == $run.site and .day == $run.day and .seed == $run.seed);
  def column(name): map(.[name] | select(. != null));
  sort_by([.site, .day]) # stable: keeps the order of the policies
| group_by([.site, .day, .load])
| map(sort_by(.way != $base) | . as $runs
  | (reduce $runs[].way as $w ([]; if index($w) then . else . + [$w] end))[] as $policy
  | [$runs[] | select(.way == $policy)] as $policy_runs
  | ([$policy_runs[] | . as $run | [base_runs($run)] | .[0] | select(. != null) | $run.worth - .worth]) as $differences
  | {
    site: $policy_runs[0].site, day: $policy_runs[0].day, load: $policy_runs[0].load, way: $policy,
    plays: ($policy_runs | length),
    worth: ($policy_runs | column("worth") | mean),
    worth_spread: ($policy_runs | column("worth") | deviation),
    in_aim: ($policy_runs | column("in_aim") | mean),
    urgent_in_aim: ($policy_runs | column("urgent_in_aim") | mean),
    other_in_aim: ($policy_runs | column("other_in_aim") | mean),
    refused: ($policy_runs | column("refused") | mean),
    failed: ($policy_runs | column("failed") | mean),
    requests: ($policy_runs | column("requests") | mean),
    broken: ($policy_runs | column("broken") | add),
    pairs: ($differences | length),
    difference: (if $policy == $base then null else ($differences | mean) end),
    difference_spread: (if $policy == $base then null else ($differences | deviation) end),
    difference_least: (if $policy == $base then null else ($differences | min) end),
    difference_most: (if $policy == $base then null else ($differences | max) end)
  })
| sort_by([.site, (.load | tonumber? // 0), .day])
