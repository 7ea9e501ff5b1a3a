# Converts summary.json to a Markdown table.
def r(n): if . == null then "-" else . * pow(10; n) | round / pow(10; n) | tostring end;
def signed: if . == null then "-" elif . >= 0 then "+" + r(4) else r(4) end;
["site", "day", "way", "plays", "worth", "sd", "in aim", "urgent", "others", "refused", "failed", "broken", "against the first", "sd", "least", "most"],
["---", "---", "---", "--:", "--:", "--:", "--:", "--:", "--:", "--:", "--:", "--:", "--:", "--:", "--:", "--:"],
(.[] | [.site, .day, .way, (.plays | tostring), (.worth | r(4)), (.worth_spread | r(4)),
  (.in_aim | r(3)), (.urgent_in_aim | r(3)), (.other_in_aim | r(3)), (.refused | r(3)),
  (.failed | r(3)), (.broken | tostring), (.difference | signed),
  (.difference_spread | r(4)), (.difference_least | signed), (.difference_most | signed)])
| "| " + join(" | ") + " |"
