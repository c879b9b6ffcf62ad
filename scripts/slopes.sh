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
# one SITE-FLAGS LOAD-FLAGS: a site, a box before it, and the load generator.
one() {
  : >"$dir/site.out"
  # shellcheck disable=SC2086 # The flags are several words.
  ./bin/bench site "$dir" --callers 127.0.0.1:18080 --operators 127.0.0.1:18081 $1 >"$dir/site.out" & pids+=($!)
  until grep -q ready "$dir/site.out"; do sleep 0.1; done
  ./bin/stoatrampd run "$dir/box.ini" 2>"$dir/box.log" & pids+=($!)
  # shellcheck disable=SC2086
  ./bin/bench load "$dir" $2
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  wait
  pids=()
}

one "--prefills 4 --decodes 6" "--idle 10s --streams 50 --rounds 10"
one "--prefills 24 --decodes 36" "--idle 10s --streams 200 --rounds 10"
one "--prefills 4 --decodes 6" "--streams 200 --rounds 10"
one "--prefills 4 --decodes 6" "--streams 400 --rounds 5"

# The decisions at the letter's size, and 8 boxes against one, in virtual time.
./bin/bench compare --mix letter --loads 0.8 --length 10s --only stoatramp
./bin/bench compare --loads 0.8 --only stoatramp
./bin/bench compare --loads 0.8 --only stoatramp --boxes 8
