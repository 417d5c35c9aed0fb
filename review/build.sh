#!/bin/sh
# Builds the gateway as the deploy file says, and the stand-ins of the review's cases.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/stiletrail-gateway
go build -o target/review-standins ./review/standins
