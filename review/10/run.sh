#!/usr/bin/env bash
# Plays the case of claim.txt; TROUBLE=0 leaves the disruption out. Needs the build of deploy/balancer.toml and
# review/build-2.sh. Exit: 1 the rule was broken, 0 it held, 2 the case could not run. Writes record.txt.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
run_command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
program=build/review-2/case-10
[ -n "$run_command" ] && [ -x "$program" ] || { echo "not built: run review/build-2.sh" >&2; exit 2; }
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 5 110 "$program" "$run_command" "$folder/record.txt" "$temporary"
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
