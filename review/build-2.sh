#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/. It needs no network.
set -e
cd "$(dirname "$0")/standin-2"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review-2 .
