#!/bin/sh
# Builds the stand-in of the review's cases. It needs the Go toolchain and nothing else.
set -e
cd "$(dirname "$0")/stand"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-stand .
