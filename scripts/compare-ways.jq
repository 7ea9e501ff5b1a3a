# Plays (lines of results.jsonl) to one object for each site, day and way:
# means, standard deviations, and differences from the way $base on the same
# site, day and seed.
def mean: if length > 0 then add / length else null end;
def spread: if length < 2 then 0 else mean as $m | (map(pow(. - $m; 2)) | add / (length - 1) | sqrt) end;
(if $base == "" then .[0].way else $base end) as $base
| . as $all
| def other($p): $all[] | select(.way == $base and .site == $p.site and .day == $p.day and .seed == $p.seed);
  def column(name): map(.[name] | select(. != null));
  sort_by([.site, .day]) # stable: ways stay in the order in which they were played
| group_by([.site, .day, .load])
| map(sort_by(.way != $base) | . as $plays
  | (reduce $plays[].way as $w ([]; if index($w) then . else . + [$w] end))[] as $way
  | [$plays[] | select(.way == $way)] as $own
  | ([$own[] | . as $p | [other($p)] | .[0] | select(. != null) | $p.worth - .worth]) as $differences
  | {
    site: $own[0].site, day: $own[0].day, load: $own[0].load, way: $way,
    plays: ($own | length),
    worth: ($own | column("worth") | mean),
    worth_spread: ($own | column("worth") | spread),
    in_aim: ($own | column("in_aim") | mean),
    urgent_in_aim: ($own | column("urgent_in_aim") | mean),
    other_in_aim: ($own | column("other_in_aim") | mean),
    refused: ($own | column("refused") | mean),
    failed: ($own | column("failed") | mean),
    requests: ($own | column("requests") | mean),
    broken: ($own | column("broken") | add),
    pairs: ($differences | length),
    difference: (if $way == $base then null else ($differences | mean) end),
    difference_spread: (if $way == $base then null else ($differences | spread) end),
    difference_least: (if $way == $base then null else ($differences | min) end),
    difference_most: (if $way == $base then null else ($differences | max) end)
  })
| sort_by([.site, (.load | tonumber? // 0), .day])
