#!/usr/bin/env bash
# The platform's names stand in platform/ alone: its calls, keys, headers and
# fields may appear nowhere else in the sources.
set -u
cd "$(dirname "$0")/.."
names='kv-(key|range|watch|txn|lease|keep)|op/(config|evacuate)|servers/|tlsKey|Instance-Id|(^|[^-])Request-Id|Server-(Seal|Load)|coldLeftMs|coldPerS|evacuateMs|callCount|pathPrefix|datagramAddr|seedNodes|internalPorts|waitMs'
found=$(git ls-files 'src/*' 'include/*' | xargs grep -nE "$names" /dev/null)
if [ -n "$found" ]; then
  echo "the platform's names outside platform/:"
  echo "$found"
  exit 1
fi
# Translation stays small: under a tenth of the code that it serves.
own=$(git ls-files 'platform/*.[ch]' | xargs cat | wc -l)
served=$(git ls-files 'src/*.[ch]' 'include/*.h' | grep -v _proto | xargs cat | wc -l)
if [ $((own * 10)) -ge "$served" ]; then
  echo "platform/ has $own lines, a tenth or more of $served"
  exit 1
fi
