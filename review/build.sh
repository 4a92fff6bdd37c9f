#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into review/bin.
set -euo pipefail
cd "$(dirname "$0")/harness"
go build -o ../bin/harness .
