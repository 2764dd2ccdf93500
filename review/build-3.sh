#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin3 ./review/_standin3
