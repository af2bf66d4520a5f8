#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The programs of the project are built by
# the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/standin .
