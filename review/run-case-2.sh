#!/usr/bin/env bash
# run-case-2.sh N: plays the case in review/N in a temporary folder, for at most 115 s. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out. Needs the deploy file's build and, after that,
# review/build-2.sh. Writes record.txt in the case's folder.
set -u
cd "$(dirname "$0")/.." || exit 2
number=$1
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
driver=build/review-2/case-$number
if [ -z "$run" ] || [ ! -x build/beechhill ] || [ ! -x "$driver" ]; then
  echo "build first: the deploy file's build, then review/build-2.sh" >&2
  exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
trap 'rm -rf "$CASE_TMP"' EXIT
timeout --kill-after=2 115 "$driver" "review/$number/record.txt" "$run"
code=$?
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
