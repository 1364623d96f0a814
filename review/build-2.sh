#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. It needs no network.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target
GOWORK=off GOTOOLCHAIN=local go build -o ../target/standin-2 ./standin-2
