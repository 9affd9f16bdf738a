#!/bin/sh
# Builds the stand-ins that the scripts in the cases of this review start, after the build of the deploy file.
set -e
cd "$(dirname "$0")"
for name in stage crew; do
  (cd "$name" && GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off go build -o "../../target/$name" .)
done
