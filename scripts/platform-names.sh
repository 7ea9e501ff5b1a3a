#!/usr/bin/env bash
# Fails if names of the users' platform (its calls, keys, headers and fields)
# appear in the sources outside platform/.
set -u
cd "$(dirname "$0")/.."
names='kv-(key|range|watch|txn|lease|keep)|op/(config|evacuate)|servers/|tlsKey|Instance-Id|(^|[^-])Request-Id|Server-(Seal|Load)|coldLeftMs|coldPerS|evacuateMs|callCount|pathPrefix|datagramAddr|seedNodes|internalPorts|waitMs'
found=$(git ls-files 'src/*' 'include/*' | xargs grep -nE "$names" /dev/null)
if [ -n "$found" ]; then
  echo "names of the platform outside platform/:"
  echo "$found"
  exit 1
fi
# Limits platform/ to less than a tenth of the size of the other sources.
platform_lines=$(git ls-files 'platform/*.[ch]' | xargs cat | wc -l)
other_lines=$(git ls-files 'src/*.[ch]' 'include/*.h' | grep -v _proto | xargs cat | wc -l)
if [ $((platform_lines * 10)) -ge "$other_lines" ]; then
  echo "platform/ has $platform_lines lines, a tenth or more of $other_lines"
  exit 1
fi
