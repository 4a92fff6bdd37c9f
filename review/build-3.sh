#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/stand3"
GOWORK=off go build -o ../../target/review-3/cases .
