#!/usr/bin/env bash
# Tests TLS, tokens, roles and key rotation with real processes on loopback.
# Prints one line per case; exits 1 if any failed. Not part of `make check`,
# because it depends on the clock. Needs the openssl command.
set -u
. "$(dirname "$0")/real-nodes.sh"

old=000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
new=f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff000102030405060708090a0b0c0d0e0f
foreign=aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
scheme=https

certificate() { # NAME
  openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes \
    -days 1 -subj "/CN=$1" -addext "subjectAltName=IP:127.41.0.1,IP:127.41.0.2,IP:127.41.0.3" \
    -keyout "$run/$1.key" -out "$run/$1.pem" 2>/dev/null
}
settings() { # INDEX FILE
  sed -i -e 's/# \(certificate\)/\1/' \
    -e "s#/etc/jaspertrack/api.pem#$run/api.pem#" -e "s#/etc/jaspertrack/api.key#$run/api.key#" "$2"
  if [ "$1" = 3 ]; then sed -i "s/$old/$foreign/" "$2"; fi
}
secure() { ctl "$@" --ca "$run/api.pem"; }
http_status() { curl -s -o /dev/null -w '%{http_code}' --cacert "$run/api.pem" "$@"; }
keys() { # LIST: sets the keys of nodes 1 and 2 and reloads them with SIGHUP
  for n in 1 2; do
    sed -i "/^keys = (/,/^);/c keys = ( $1 );" "$run/node-$n.cfg"
    kill -HUP "${pid[node-$n]}"
  done
  sleep 4
}
members() { curl -s --cacert "$run/api.pem" -H "Authorization: Bearer $admin" "https://127.41.0.$1:6082/v1/status" | jq '.members | length'; }

certificate api
certificate other
start store "$build/jaspertrack-standin" store --listen $store --operations-per-s 100
sleep 0.3
node 1
node 2
for _ in $(seq 40); do
  out=$(secure 1 apply -f "$top/examples/turnos-andinos/resources.json" 2>&1) && break
  sleep 0.5
done
[[ $out == accepted* ]]
report "an operator's change over TLS is accepted" $?
! ctl 1 status --ca "$run/other.pem" >/dev/null 2>&1
report "a certificate of another authority is rejected" $?
! scheme=http ctl 1 status >/dev/null 2>&1
report "plain HTTP is rejected" $?

url=https://127.41.0.1:6082/v1
[ "$(http_status $url/status)" = 401 ]
report "no token: 401" $?
[ "$(http_status -H 'Authorization: Bearer not-a-token-of-ours' $url/status)" = 401 ]
report "an unknown token: 401" $?
out=$(JASPERTRACK_TOKEN=example-read-token-change-me secure 1 apply -f "$(weight 11)" 2>&1)
[ $? = 1 ] && [[ $out == *403* ]]
report "a read-only token can't write: 403" $?
clinicas() { JASPERTRACK_TOKEN=example-clinicas-token-change-me secure 1 apply -f "$1" 2>&1; }
address() { # NAME IP
  echo "{\"addresses\":[{\"name\":\"$1\",\"address\":\"$2:80\",\"protocol\":\"tcp\",\"service\":\"planilla\",\"group\":\"clinicas\"}]}" >"$run/$1.json"
  echo "$run/$1.json"
}
out=$(clinicas "$(address clinicas-second 10.20.0.9)")
[[ $out == accepted* ]]
report "a group's operator adds an address of the group" $?
out=$(clinicas "$(weight 12)")
[ $? = 1 ] && [[ $out == *403* ]]
report "a group's operator can't change its share: 403" $?
out=$(clinicas "$(address planilla-panaderias 10.20.0.2)")
[ $? = 1 ] && [[ $out == *403* ]] && [ "$(secure 1 get addresses planilla-panaderias | jq -r .group)" = panaderias ]
report "a group's operator can't take another group's address: 403" $?

node 3
sleep 6
[ "$(members 1)" = 2 ] && [ "$(http_status https://127.41.0.3:6082/ready)" = 503 ]
report "a node with another key is not admitted and not ready" $?

keys "{ id = 1; secret = \"$old\"; }, { id = 2; secret = \"$new\"; }"
keys "{ id = 2; secret = \"$new\"; }, { id = 1; secret = \"$old\"; }"
keys "{ id = 2; secret = \"$new\"; }"
out=$(secure 2 apply -f "$(weight 14)" 2>&1)
[[ $out == accepted* ]] && [ "$(members 1)" = 2 ] && [ "$(members 2)" = 2 ]
report "keys are rotated without downtime: both members use the new one" $?

! grep -q -e $old -e $new -e "$admin" -e change-me "$run"/node-*.log
report "logs contain no keys or tokens" $?
exit $failed
