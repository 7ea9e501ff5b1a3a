#!/usr/bin/env bash
# Builds the stand-ins of cases 4 and 5 into build-review-2/, and the director
# with the deploy file's command where it isn't built yet. The stand-ins are those
# of review/world/; a case may replace two functions that the endpoints use (see
# world2.h).
set -eu
cd "$(dirname "$0")/.."
if [ ! -x target/jaspertrack-director ]; then
  bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)" >&2
fi
flags="-D_GNU_SOURCE -std=gnu11 -O2 -g -Wall -Wextra"
out=build-review-2
mkdir -p "$out"
work=$(mktemp -d "$out/work.XXXXXX")
trap 'rm -rf "$work"' EXIT
for source in review/world/*.c; do
  name=$(basename "$source" .c)
  replaced=""
  if [ "$name" = endpoints ]; then
    replaced="-Ddraw=endpoint_draw -Dpacket_decode=endpoint_packet_decode"
  fi
  # shellcheck disable=SC2086
  cc $flags $replaced -c -o "$work/$name.o" "$source"
done
for number in 4 5 6 7 8; do
  [ -f "review/$number/case.c" ] || continue
  # shellcheck disable=SC2086
  cc $flags -o "$work/case-$number" "$work"/*.o "review/$number/case.c"
  # Renamed when complete: another run may be using the program.
  mv "$work/case-$number" "$out/case-$number"
done
