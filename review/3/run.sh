#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
[ -x "$root/review/bin/case3" ] && [ -x "$root/bin/edgeproxy" ] || { echo "not built"; exit 2; }
exec "$root/review/bin/case3" "$root" "$folder"
