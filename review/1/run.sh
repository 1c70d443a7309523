#!/usr/bin/env bash
# Plays the case "reclaim"; claim.txt says what it shows. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/ebonyferry ] || [ ! -x target/review/standin ]; then
  echo "build the deploy file and run review/build.sh first" >&2
  exit 2
fi
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
target/review/standin -case reclaim -dir "$dir" -record "$here/record.txt"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
