#!/usr/bin/env bash
# Case 6. Needs the build of deploy/system.toml and review/build-2.sh. TROUBLE=0 leaves
# the disruption out.
set -u
cd "$(dirname "$0")/../.."
program=target/review-2/review-2
[ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec env TROUBLE="${TROUBLE:-1}" "$program" lone-host review/6
