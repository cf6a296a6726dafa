#!/usr/bin/env bash
# run-case.sh N: runs the case in review/N with the deploy file's own command, in a temporary folder, for at most 120 s.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
number=$1
program=build/review/case-$number
[ -x "$program" ] || bash review/build.sh || exit 2
PROXY_RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$PROXY_RUN" ] && [ -x build/beechhill ] || { echo "build the program with the deploy file's command first" >&2; exit 2; }
CASE_TMP=$(mktemp -d) || exit 2
CASE_RECORD=review/$number/record.txt
export PROXY_RUN CASE_TMP CASE_RECORD
timeout --kill-after=2 115 "$program"
code=$?
rm -rf "$CASE_TMP"
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
