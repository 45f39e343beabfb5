#!/bin/sh
# Plays the case once: exits with 1 if the rule was broken, 0 if it held, 2 if it could not
# run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review-3/standins-3 ] && [ -x target/release/currantcove-host ] || exit 2
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
FOLDER="$folder" RECORD="$here/record.txt" timeout -k 5 115 target/review-3/standins-3 takeup
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
