#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 with the standard library only.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-3"
cd "$root/review/standin-3"
GOWORK=off go build -o "$root/target/review-3/rig3" .
