#!/usr/bin/env bash
# Builds the program that runs the scripts of the second review, with all stand-ins in it.
set -eu
cd "$(dirname "$0")/rig"
GOWORK=off go build -o ../../target/review-2/rig .
