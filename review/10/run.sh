#!/usr/bin/env bash
# Runs this case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Build first: the command of deploy/balancer.toml, then review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/edgeproxy ] || [ ! -x bin/rig2 ]; then
	echo "build first: the command of deploy/balancer.toml, then review/build-2.sh" >&2
	exit 2
fi
exec bin/rig2 slow-reader review/10/record.txt
