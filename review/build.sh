#!/bin/sh
# Builds the player of the review's scripts, with all its stand-ins. It has no dependencies.
cd "$(dirname "$0")/player" && GOWORK=off GOFLAGS="${GOFLAGS:-}" go build -trimpath -ldflags="-s -w" -o ../out/player .
