#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. It needs no network.
set -eu
cd "$(dirname "$0")"
GOWORK=off GOTOOLCHAIN=local go build -o bin/standin ./standin
