#!/usr/bin/env bash
# Demonstrates a deployment on loopback with separate processes: store, machine
# list, fabric, endpoints, clients and balancers. Under traffic, balancers are
# killed and added, an endpoint is drained and a share is changed. The last line
# is a JSON object; the exit status is 1 if a property was violated.
#
# Environment: DEPLOYMENT (turnos-andinos, sabarmati), SCENARIO (default,
# two-kills, planned), DURATION_S, BUILD.
set -u
top=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD:-$top/build}
deployment=${DEPLOYMENT:-turnos-andinos}
scenario=${SCENARIO:-default}
duration=${DURATION_S:-45}
run=$(mktemp -d)
started=()
declare -A node_pid
. "$top/examples/$deployment/deployment.sh"

note() { printf '%5.1fs %s\n' "$(awk "BEGIN{print $(date +%s.%N)-$t0}")" "$*" >&2; }

stop_all() {
  for pid in "${started[@]}"; do kill -9 "$pid" 2>/dev/null; done
  for pid in "${started[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "$run"
}
trap stop_all EXIT

start() { # NAME COMMAND...: runs in the background with a log file
  local name=$1
  shift
  "$@" >"$run/$name.out" 2>"$run/$name.log" &
  last_pid=$!
  started+=("$last_pid")
}

admin=demo-admin-token-0000
export JASPERTRACK_TOKEN=$admin
standin=$build/jaspertrack-standin
store=127.50.0.2:2379
machines=127.50.0.3:8080
t0=$(date +%s.%N)

node_settings() { # INDEX ZONE
  sed -e "s/name = \"scl-renca-0\"/name = \"$2-$1\"/" \
      -e "s/zone = \"scl-renca\"/zone = \"$2\"/" \
      -e "s/cell = \"turnos-andinos\"/cell = \"$deployment\"/" \
      -e "s/127\.40\.0\.1:\(608[012]\)\";  *#/127.40.0.$1:\1\"; #/" \
      -e "s/example-admin-token-change-me/$admin/" \
      "$top/examples/node.cfg" >"$run/node-$1.cfg"
}

start_node() { # INDEX ZONE
  node_settings "$1" "$2"
  start "node-$1" "$build/jaspertrackd" --config "$run/node-$1.cfg"
  node_pid[$1]=$last_pid
  curl -s -X PUT "http://$machines/machines/node-$1" -d "{\"peer\":\"127.40.0.$1:6081\",\"data\":\"127.40.0.$1:6080\",\"api\":\"127.40.0.$1:6082\",\"state\":\"live\"}" >/dev/null
}

kill_node() { # INDEX
  note "balancer $1 is killed"
  kill -9 "${node_pid[$1]}"
  wait "${node_pid[$1]}" 2>/dev/null
  (sleep 3; curl -s -X DELETE "http://$machines/machines/node-$1" >/dev/null) &
}

wait_ready() { # INDEX
  for _ in $(seq 200); do
    [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.40.0.$1:6082/ready")" = 200 ] && return 0
    sleep 0.1
  done
  note "balancer $1 is not ready"
  tail -5 "$run/node-$1.log" >&2
  return 1
}

ctl() { "$build/jaspertrack" --api "http://127.40.0.$api_node:6082" "$@"; }

start store "$standin" store --listen $store --operations-per-s 50
start machines "$standin" machines --listen $machines --lag-s 1
start fabric "$standin" fabric --listen 127.50.0.1:6083 --return 127.50.0.1:6084 --machines "http://$machines"
for i in $(seq $STREAM_ENDPOINTS); do
  start "stream-$i" "$standin" endpoint --name "$STREAM_SERVICE-$((i-1))" --service $STREAM_SERVICE \
    --listen "127.30.0.$i:6080" --health "127.30.0.$i:8080" --gateway 127.50.0.1:6084 \
    --address 10.20.0.1,10.20.0.2,10.20.0.3 --port 80 --slots 2 --connections 2000
done
for i in $(seq $REQUEST_ENDPOINTS); do
  start "request-$i" "$standin" endpoint --name "$REQUEST_SERVICE-$((i-1))" --service $REQUEST_SERVICE \
    --listen "127.30.1.$i:6080" --health "127.30.1.$i:8080" --gateway 127.50.0.1:6084 \
    --address 10.20.1.1,10.20.1.2 --port 80 --slots 2 --connections 2000
done
sleep 0.3
for i in 1 2 3 4; do start_node $i "${ZONES[$(((i-1)/2))]}"; done
sleep 0.5
api_node=2
ctl apply -f "$top/examples/$deployment/resources.json" >&2 || exit 1
for i in 1 2 3 4; do wait_ready $i || exit 1; done
note "four balancers in two zones are ready"
sleep 1.5

loads=()
for load in "${LOADS[@]}"; do loads+=(--load "$load"); done
start caller "$standin" caller --listen 127.10.0.1:6085 --fabric 127.50.0.1:6083 --source 10.10.0.1 \
  --duration-s "$duration" --runs-file "$run/runs.json" "${loads[@]}"
caller=$last_pid

resource() { ctl get "$1" "$2"; }
drain() { # ENDPOINT true|false
  resource endpoints "$1" | jq -c "del(.version) | .draining=$2 | {endpoints:[.]}" >"$run/change.json"
  ctl apply -f "$run/change.json" >&2
}

sleep 6
case $scenario in
  default)
    kill_node 3
    sleep 5
    note "balancer 5 joins"
    start_node 5 "${ZONES[1]}"
    sleep 3
    note "endpoint $STREAM_SERVICE-0 drains"
    drain "$STREAM_SERVICE-0" true
    sleep 4
    note "the share of $FIRST_GROUP changes"
    echo "{\"shares\":[{\"service\":\"$STREAM_SERVICE\",\"group\":\"$FIRST_GROUP\",\"weight\":1}]}" >"$run/change.json"
    ctl apply -f "$run/change.json" >&2
    sleep 4
    drain "$STREAM_SERVICE-0" false
    ;;
  two-kills)
    kill_node 1
    sleep 7
    kill_node 4
    api_node=2
    ;;
  planned)
    note "balancer 1 is stopped as planned"
    kill -TERM "${node_pid[1]}"
    sleep 6
    curl -s -X DELETE "http://$machines/machines/node-1" >/dev/null
    kill -0 "${node_pid[1]}" 2>/dev/null && note "balancer 1 has not left yet"
    start_node 5 "${ZONES[0]}"
    sleep 3
    note "endpoint $STREAM_SERVICE-1 drains"
    drain "$STREAM_SERVICE-1" true
    ;;
esac

wait "$caller"
code=$?
ctl status >&2
runs="["
for f in $(seq $STREAM_ENDPOINTS); do runs+="$(curl -s "http://127.30.0.$f:8080/runs"),"; done
for f in $(seq $REQUEST_ENDPOINTS); do runs+="$(curl -s "http://127.30.1.$f:8080/runs"),"; done
echo "${runs%,}]" >"$run/ran.json"
[ -n "${KEEP_LOGS:-}" ] && cp "$run"/*.log "$KEEP_LOGS"/
line=$(jq -c --slurpfile ran "$run/ran.json" --slurpfile client "$run/runs.json" \
  --arg d "$deployment" --arg s "$scenario" '
  ($ran[0] | add) as $all
  | {deployment: $d, scenario: $s} + .
  + {requests_run_twice: (($all|length) - ($all|unique|length)),
     refused_but_run: (($client[0].refused - ($client[0].refused - $all))|length)}' "$run/caller.out")
bad=$(echo "$line" | jq '.requests_run_twice + .refused_but_run')
[ "$bad" = 0 ] || code=1
echo "$line"
exit $code
