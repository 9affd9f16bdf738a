#!/bin/sh
# Builds the stand-ins that the scripts in the cases of this review start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/stage"
GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off go build -o ../../target/stage .
