#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. The gateway is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-2 ./review/standins-2
