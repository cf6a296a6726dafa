#!/usr/bin/env bash
# Plays case 10: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the disruption
# out. Needs the deploy file's build and review/build-2.sh. Writes record.txt beside itself.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
driver=build/review-2/case-10
if [ -z "$run" ] || [ ! -x build/beechhill ] || [ ! -x "$driver" ]; then
  echo "build it first, by the deploy file's build and by review/build-2.sh" >&2
  exit 2
fi
exec "$driver" "$here/record.txt" "$run"
