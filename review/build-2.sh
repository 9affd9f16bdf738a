#!/bin/sh
# Builds the stand-ins that the scripts in review/6 to review/10 start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/stage"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/stage .
