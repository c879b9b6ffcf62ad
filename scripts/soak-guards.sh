#!/usr/bin/env bash
# Plants a bug for each promise in a scratch copy and shows that the soak finds it with a
# schedule made for it, and does not find anything without the bug. A bug that is missed
# makes this script fail.
#
# A line of soak-guards.txt: promise, file, perl substitution, schedule; with tabs between.
set -uo pipefail
cd "$(dirname "$0")/.."
only=${1:-}
failed=0
play() { # play DIR SCHEDULE; a line "# args: ..." of the schedule has more arguments
  local args
  read -ra args < <(sed -n 's/^# args: //p' "$1/platform/soak/testdata/guards/$2")
  (cd "$1" && go test ./platform/soak -run 'TestSoak$' -count=1 -v -timeout 5m -args -soak.file="testdata/guards/$2" "${args[@]}" 2>&1)
}
for schedule in platform/soak/testdata/guards/*.txt; do
  [ -z "$only" ] || break
  if ! out=$(play . "$(basename "$schedule")"); then
    echo "WRONG  $(basename "$schedule") fails without a bug: $(grep -m1 -E '^ {10}[0-9a-z]' <<<"$out" | cut -c11-140)"
    failed=1
  fi
done
while IFS=$'\t' read -r promise file change schedule; do
  [ -n "$promise" ] && [ "${promise:0:1}" != "#" ] || continue
  [ -z "$only" ] || [[ "$promise" == *"$only"* ]] || continue
  dir=$(mktemp -d)
  git ls-files -co --exclude-standard | tar cf - -T - | tar xf - -C "$dir"
  perl -0pi -e "$change" "$dir/$file"
  if cmp -s "$file" "$dir/$file"; then
    echo "STALE  $promise: the change matches nothing in $file"
    failed=1
  elif ! out=$(cd "$dir" && go build ./... 2>&1); then
    echo "BROKEN $promise: $(head -3 <<<"$out" | tr '\n' ' ')"
    failed=1
  elif out=$(play "$dir" "$schedule"); then
    echo "MISSED $promise: $schedule"
    failed=1
  else
    echo "ok     $promise: $(grep -oE '[0-9]+ findings' <<<"$out" | head -1): $(grep -m1 -E '^ {10}[0-9a-z]' <<<"$out" | cut -c11-140)"
  fi
  rm -rf "$dir"
done < scripts/soak-guards.txt
exit $failed
