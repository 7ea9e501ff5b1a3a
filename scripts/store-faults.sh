#!/usr/bin/env bash
# Tests store faults and concurrent operators with real processes on loopback:
# outage, slow store, lost responses, unknown outcome, a paused coordinator, a
# new node during an outage. Prints one line per case; exits 1 if any failed.
# Not part of `make check`, because it depends on the clock.
set -u
. "$(dirname "$0")/real-nodes.sh"

start store "$build/jaspertrack-standin" store --listen $store --operations-per-s 100
sleep 0.3
for i in 1 2 3; do node $i; done
sleep 0.5
ctl 1 apply -f "$top/examples/turnos-andinos/resources.json" >/dev/null
wait_revision 15 1 1 2 3
report "three nodes form a cell and serve the first configuration" $?

fault '{"lose_answers":1}'
out=$(ctl 2 apply -f "$(weight 11)"); code=$?
[ $code = 0 ] && [[ $out == accepted* ]] && [ "$(ctl 3 get shares planilla/clinicas | jq .weight)" = 11 ]
report "response lost: verified by reading, reported as accepted" $?

fault '{"slow_ms":1200}'
out=$(ctl 1 apply -f "$(weight 12)"); code=$?
fault '{}'
[ $code = 0 ] && [[ $out == accepted* ]]
report "store slow: accepted" $?

before=$(revision 1)
fault '{"down":true}'
out=$(ctl 1 apply -f "$(weight 13)" 2>&1); code=$?
[ $code = 1 ] && [[ $out == *"503"* ]] && [ "$(ctl 1 get shares planilla/clinicas | jq .weight)" = 12 ]
report "store down: writes are rejected, reads still work" $?
fault '{}'
sleep 2
[ "$(revision 1)" = "$before" ]
report "the rejected change has not taken effect later" $?

out=$(ctl 2 apply -f "$(weight 14)")
fault '{"down":true}'
rev=$(echo "$out" | sed 's/.*revision \([0-9]*\).*/\1/')
wait_revision 6 "$rev" 1 2 3
report "store down after acceptance: in force on every node within 6 s" $?
node 4
wait_revision 10 "$rev" 4
report "a new node gets the latest revision from its peers during the outage" $?
fault '{}'
sleep 3

# All responses are lost, then the store goes down: the outcome is unknown.
fault '{"lose_answers":1}'
(sleep 0.15; fault '{"down":true}') &
out=$(ctl 1 apply --id unknown-1 -f "$(weight 15)" 2>&1); code=$?
if [ $code = 0 ]; then
  echo "skipped the outcome was verified before the store went down"
else
  [[ $out == *"status 202"* ]]
  report "response lost and store down: reported as unknown, not as rejected" $?
fi
fault '{}'
sleep 3
ctl 2 outcome unknown-1 >/dev/null
report "queried later by its id: accepted" $?
ctl 3 apply --id unknown-1 -f "$(weight 15)" >/dev/null
report "repeating the request id has no effect and is accepted" $?

version=$(ctl 1 get shares planilla/clinicas | jq .version)
ctl 1 apply -f "$(weight 21 "$version")" >"$run/r1" 2>&1 & a=$!
ctl 2 apply -f "$(weight 22 "$version")" >"$run/r2" 2>&1 & b=$!
wait $a; ca=$?
wait $b; cb=$?
[ $((ca + cb)) = 1 ] && grep -q "version: is" "$run/r1" "$run/r2"
report "two concurrent operators: one is accepted, one gets a conflict" $?

for n in 1 2 3 4; do
  if [ "$(curl -s -H "Authorization: Bearer $admin" "http://127.41.0.$n:6082/v1/status" | jq .coordinator)" = true ]; then holder=$n; fi
done
other=$((holder % 4 + 1))
kill -STOP "${pid[node-$holder]}"
sleep 4
out=$(ctl $other apply -f "$(weight 30)"); code=$?
[ $code = 0 ]
report "the coordinator is paused: changes are still accepted" $?
rev=$(echo "$out" | sed 's/.*revision \([0-9]*\).*/\1/')
kill -CONT "${pid[node-$holder]}"
wait_revision 12 "$rev" 1 2 3 4
report "the resumed coordinator serves the latest revision" $?

# Another writer, which uses the store directly, adds endpoints that no node
# would accept: one nested deeply, a number too large, a port out of range.
key=$(printf %s "/jaspertrack/$(sed -n 's/^ *cell = "\([^"]*\)".*/\1/p' "$run/node-1.cfg")/resources" | base64 -w0)
stored() { curl -s "http://$store/v3/kv/range" -d "{\"key\":\"$key\"}" | jq -r '.kvs[0].value' | base64 -d; }
deep=$(printf '[%.0s' $(seq 5000))$(printf ']%.0s' $(seq 5000))
port='{"name":"odd-port","service":"planilla","address":"127.0.0.1:65536","health":"127.0.0.1:1","slots":1,"connections":1}'
number='{"name":"odd-number","service":"planilla","address":"127.0.0.1:2","health":"127.0.0.1:1","slots":1e999,"connections":1}'
before=$(revision 1)
stored | sed "s/\"endpoints\":\[/&{\"name\":\"odd-deep\",\"more\":$deep},$port,$number,/" | base64 -w0 >"$run/odd"
printf '{"key":"%s","value":"%s"}' "$key" "$(cat "$run/odd")" >"$run/odd.json"
curl -s "http://$store/v3/kv/put" -d "@$run/odd.json" >/dev/null
wait_revision 6 $((before + 1)) 1 2 3 4
report "odd endpoints of another writer: in force without them on every node within 6 s" $?
out=$(ctl 2 apply -f "$(weight 31)"); code=$?
[ $code = 0 ] && [[ $out == accepted* ]]
report "odd endpoints of another writer: changes are still accepted" $?
node 5
wait_revision 10 "$(echo "$out" | sed 's/.*revision \([0-9]*\).*/\1/')" 5
report "odd endpoints of another writer: a new node starts" $?
exit $failed
