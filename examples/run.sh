#!/usr/bin/env bash
# Runs the platform, four back ends and six nodes as separate processes on loopback until interrupted.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/...
pids=()
stop() { kill "${pids[@]}" 2>/dev/null || true; wait; }
trap stop EXIT INT TERM
bin/stiletrail-rehearsal platform & pids+=($!)
for i in 0 1 2 3; do
  bin/stiletrail-rehearsal backend --listen "127.0.0.1:780$((i + 1))" --service lookup --shards "$i,$(((i + 1) % 4))" --shards-total 4 & pids+=($!)
done
for settings in examples/node-*.yaml; do
  bin/stiletraild --settings "$settings" & pids+=($!)
done
wait
