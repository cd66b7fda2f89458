#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 into target/, beside the programs of the deploy file.
set -eu
cd "$(dirname "$0")/rig-2"
GOWORK=off go build -o ../../target/rig-2 .
