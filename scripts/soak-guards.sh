#!/usr/bin/env bash
# Plants a bug for each promise in a scratch copy and shows that the soak finds it: in how
# many of SEEDS fresh seeds. A bug that no seed finds makes this script fail.
#
# A line of soak-guards.txt: promise, file, perl substitution, flags; with tabs between.
set -uo pipefail
cd "$(dirname "$0")/.."
seeds=${SEEDS:-4}
only=${1:-}
failed=0
while IFS=$'\t' read -r promise file change args; do
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
  else
    out=$(cd "$dir" && go test ./platform/soak -run 'TestSoak$' -count=1 -v -timeout 20m -args -soak.seeds="$seeds" -soak.atonce=3 ${args:-} 2>&1)
    found=$(grep -cE 'soak_test.go:[0-9]+: seed .*: [1-9][0-9]* findings$' <<<"$out")
    found=$((found / 2)) # Each is told as a log line and as a failure.
    what=$(grep -m1 -E '^ {10}[a-z]' <<<"$out" | cut -c11-140)
    if [ "$found" -gt 0 ]; then
      echo "ok     $promise: found in $found of $seeds seeds: $what"
    else
      echo "MISSED $promise: $(tail -3 <<<"$out" | tr '\n' ' ')"
      failed=1
    fi
  fi
  rm -rf "$dir"
done < scripts/soak-guards.txt
exit $failed
