#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves out
# the disruption. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-2/cases ] || [ ! -x target/sesamewell-lobby ]; then
	echo "NOT RUN: the project and review/build-2.sh have to be built first"
	exit 2
fi
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/cases adapters review/10/record.txt
