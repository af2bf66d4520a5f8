#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. It needs no network.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target/review-2
(cd standin-2 && GOWORK=off go build -o ../../target/review-2/cases .)
(cd rig && GOWORK=off go build -o ../../target/review-2/rig .)
