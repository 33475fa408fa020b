#!/usr/bin/env bash
# Builds the stand-ins of the second review. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
go build -o ../../target/review-2/stand .
