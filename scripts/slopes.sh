#!/usr/bin/env bash
# Reprints every figure that docs/CAPACITY.md quotes: first those of one process,
# then those of a box in a process of its own before stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/bench ./cmd/stoatrampd
dir=$(mktemp -d)
pids=()
cleanup() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  wait
  rm -rf "$dir"
}
trap cleanup EXIT

./bin/bench slopes
for streams in 50 200 400; do
  ./bin/bench site "$dir" --callers 127.0.0.1:18080 --operators 127.0.0.1:18081 >"$dir/site.out" & pids+=($!)
  until grep -q ready "$dir/site.out"; do sleep 0.1; done
  ./bin/stoatrampd run "$dir/box.ini" 2>"$dir/box.log" & pids+=($!)
  ./bin/bench load "$dir" --streams "$streams"
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  wait
  pids=()
done
