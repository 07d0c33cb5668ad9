#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves out
# the disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
rm -f review/2/record.txt
target/review/standin scenario doubt "$directory" "${TROUBLE:-1}"
status=$?
cp "$directory/record.txt" review/2/record.txt || exit 2
[ "$status" -le 1 ] || exit 2
exit "$status"
