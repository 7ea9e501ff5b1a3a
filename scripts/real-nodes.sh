# Helpers for test scripts that run real nodes on loopback; to be sourced by a
# script in scripts/. Sets build, top, run and store; stops all started processes
# on exit.
top=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD:-$top/build}
run=$(mktemp -d)
started=()
declare -A pid
failed=0
admin=real-nodes-admin-token-0000
export JASPERTRACK_TOKEN=$admin
store=127.51.0.2:2379

stop_all() {
  for p in "${started[@]}"; do kill -CONT "$p" 2>/dev/null; kill -9 "$p" 2>/dev/null; done
  for p in "${started[@]}"; do wait "$p" 2>/dev/null; done
  [ -n "${KEEP_LOGS:-}" ] && cp "$run"/*.log "$KEEP_LOGS"/
  rm -rf "$run"
}
trap stop_all EXIT

start() { "${@:2}" >"$run/$1.out" 2>"$run/$1.log" & started+=($!); pid[$1]=$!; }
# INDEX: starts a node. A function "settings INDEX FILE", if defined, may modify
# its settings.
node() {
  local zone; zone=$(echo a b c a b | cut -d' ' -f"$1")
  sed -e "s/name = \"scl-renca-0\"/name = \"node-$1\"/" -e "s/zone = \"scl-renca\"/zone = \"zone-$zone\"/" \
    -e "s/127\.40\.0\.1:\(608[012]\)\";  *#/127.41.0.$1:\1\"; #/" \
    -e 's/seeds = .*/seeds = ( "127.41.0.1:6081", "127.41.0.2:6081", "127.41.0.3:6081" );/' \
    -e 's/^machines = .*//' -e "s/127\.50\.0\.2:2379/$store/" \
    -e "s/example-admin-token-change-me/$admin/" "$top/examples/node.cfg" >"$run/node-$1.cfg"
  if declare -F settings >/dev/null; then settings "$1" "$run/node-$1.cfg"; fi
  start "node-$1" "$build/jaspertrackd" --config "$run/node-$1.cfg"
}
fault() { curl -s -X POST "http://$store/fault" -d "$1" >/dev/null; }
ctl() { local n=$1; shift; "$build/jaspertrack" --api "${scheme:-http}://127.41.0.$n:6082" "$@"; }
revision() { curl -s -H "Authorization: Bearer $admin" "http://127.41.0.$1:6082/v1/status" | jq '.revision_in_force // 0'; }
weight() { echo "{\"shares\":[{\"service\":\"planilla\",\"group\":\"clinicas\",\"weight\":$1${2:+,\"version\":$2}}]}" >"$run/w$1.json"; echo "$run/w$1.json"; }
wait_revision() { # SECONDS REVISION NODE...: waits until all nodes have it
  local until=$(($(date +%s%3N) + $1 * 1000)) want=$2; shift 2
  while [ "$(date +%s%3N)" -lt "$until" ]; do
    local all=1
    for n in "$@"; do [ "$(revision "$n")" -ge "$want" ] 2>/dev/null || all=0; done
    [ $all = 1 ] && return 0
    sleep 0.1
  done
  return 1
}
report() { # NAME STATUS
  if [ "$2" = 0 ]; then echo "ok      $1"; else echo "FAILED  $1"; failed=1; fi
}

