#!/usr/bin/env bash
# Runs 8 boxes as processes on loopback under load, and fails them: a rolling
# restart, two killed at once, an outage of the platform, a box paused and woken.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/bench ./cmd/stoatrampd
dir=$(mktemp -d)
outage=${OUTAGE:-60s}
declare -A box
others=()
cleanup() {
  for p in "${box[@]}" "${others[@]}"; do kill -CONT "$p" 2>/dev/null || true; kill -9 "$p" 2>/dev/null || true; done
  wait 2>/dev/null
  rm -rf "$dir"
}
trap cleanup EXIT

start() {
  ./bin/stoatrampd run "$dir/box$1.ini" 2>>"$dir/box$1.log" &
  box[$1]=$!
}
ready() {
  until curl -sf "http://127.0.0.1:$((18098 + 2 * $1))/readyz" >/dev/null; do sleep 0.05; done
}
drive() { ./bin/bench drive "$@" & driver=$!; }

./bin/bench site "$dir" --boxes 8 --prefills 4 --decodes 6 >"$dir/site.out" & others+=($!)
until grep -q ready "$dir/site.out"; do sleep 0.1; done
for i in 1 2 3 4 5 6 7 8; do start "$i"; done
for i in 1 2 3 4 5 6 7 8; do ready "$i"; done

drive "nothing fails" --length 8s
wait "$driver"

drive "rolling restart of all 8" --length 25s
sleep 1
for i in 1 2 3 4 5 6 7 8; do
  kill -TERM "${box[$i]}"
  wait "${box[$i]}" || echo "box$i exited with $?"
  start "$i"
  ready "$i"
done
wait "$driver"

drive "two killed at once" --length 10s
sleep 3
kill -9 "${box[2]}" "${box[5]}"
wait "${box[2]}" "${box[5]}" 2>/dev/null || true
sleep 2
start 2
start 5
wait "$driver"
ready 2
ready 5

drive "platform down for $outage, a box replaced meanwhile" --length "$outage"
curl -s http://127.0.0.1:18099/down
sleep 3
kill -9 "${box[3]}"
wait "${box[3]}" 2>/dev/null || true
start 3
ready 3
echo "a box started during the outage is ready"
wait "$driver"
curl -s http://127.0.0.1:18099/up

drive "a box paused for 8 s and woken" --length 15s
sleep 2
kill -STOP "${box[4]}"
sleep 8
kill -CONT "${box[4]}"
wait "$driver"

echo "100 configuration changes on 8 boxes, accepted to in force on the last box:"
go build -o bin/ ./cmd/stoatramp
export STOATRAMP_BOX=http://127.0.0.1:18101 STOATRAMP_KEY=demo-operator-key
for n in $(seq "${CHANGES:-100}"); do
  ./bin/stoatramp config get >"$dir/shared.ini"
  printf '\n[client change%d]\nkey_sha256 = %s\n' "$n" "$(printf 'change%d' "$n" | sha256sum | cut -d' ' -f1)" >>"$dir/shared.ini"
  ./bin/stoatramp --json config apply "$dir/shared.ini" | grep -o '"in_force_ms": "[0-9]*"' | grep -o '[0-9]*'
done | sort -n >"$dir/force"
echo "changes $(wc -l <"$dir/force"), median $(sed -n "$((($(wc -l <"$dir/force") + 1) / 2))p" "$dir/force") ms, worst $(tail -1 "$dir/force") ms"
