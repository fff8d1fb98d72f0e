#!/bin/sh
# Builds the stand-ins and drivers of the review's scripts into review/bin.
set -eu
cd "$(dirname "$0")"
go build -o bin/ ./cmd/...
