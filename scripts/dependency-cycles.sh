#!/usr/bin/env bash
# Fails if source files depend on each other in a cycle, according to the
# symbols that the object files of BUILD define and use. Known circular
# dependencies are listed in scripts/dependency-cycles-known.txt, one per line.
# Usage: scripts/dependency-cycles.sh BUILD
set -u
[ $# -eq 1 ] || { echo "usage: scripts/dependency-cycles.sh BUILD" >&2; exit 2; }
build=$1
known="$(dirname "$0")/dependency-cycles-known.txt"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

find "$build" -path '*src/*' -name '*.c.o' | while read -r object; do
  # CMake puts the objects of a subdirectory into a directory per target.
  file=$(echo "src/${object##*/src/}" |
    sed -E 's#CMakeFiles/[^/]*\.dir/##; s#\.o$##')
  nm "$object" | awk -v file="$file" '
    $(NF - 1) ~ /^[TDBR]$/ { print "defines", $NF, file }
    $(NF - 1) == "U" { print "uses", $NF, file }'
done | sort -u >"$work/symbols"
[ -s "$work/symbols" ] || { echo "no object files below $build"; exit 1; }

# Prints pairs "user used", except within a known cycle. Symbols that several
# files define, such as main(), are ignored.
awk -v known="$known" '
  BEGIN {
    while ((getline line < known) > 0) {
      if (line ~ /^#/) continue
      count = split(line, files, " ")
      for (i = 1; i <= count; i++) cycle[files[i]] = line
    }
  }
  $1 == "defines" { defined[$2]++; file[$2] = $3; next }
  { uses[++n] = $2 " " $3 }
  END {
    for (i = 1; i <= n; i++) {
      split(uses[i], part, " ")
      if (defined[part[1]] != 1) continue
      user = part[2]; used = file[part[1]]
      if (user == used) continue
      if (user in cycle && cycle[user] == cycle[used]) continue
      print user, used
    }
  }' "$work/symbols" | sort -u >"$work/pairs"

if ! tsort "$work/pairs" >/dev/null 2>"$work/loops"; then
  echo "circular dependencies between files:"
  sed 's/^tsort: //' "$work/loops"
  exit 1
fi
echo "no circular dependencies except $(grep -vc '^#' "$known") known ones"
