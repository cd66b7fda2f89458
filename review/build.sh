#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. It needs no network and no modules.
set -eu
cd "$(dirname "$0")/rig"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-rig .
