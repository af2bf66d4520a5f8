#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] && [ -x target/sesamewell-lobby ] || { echo "build the project and review/build-2.sh first"; exit 2; }
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec target/review-2/cases cutstream review/8/record.txt
