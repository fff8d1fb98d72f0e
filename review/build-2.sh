#!/usr/bin/env bash
# Builds the stand-ins and clients of the second review's scripts into target/review-2.
set -euo pipefail
cd "$(dirname "$0")"
go build -o ../target/review-2/ ./cmd2/...
