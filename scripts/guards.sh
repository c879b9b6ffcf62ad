#!/usr/bin/env bash
# Takes each guard of a promise out of a scratch copy and shows that its test
# then fails. A guard whose test still passes makes this script fail.
#
# A line of guards.txt: promise, file, perl substitution, package, test; with tabs between.
set -uo pipefail
cd "$(dirname "$0")/.."
only=${1:-}
failed=0
while IFS=$'\t' read -r promise file change package test; do
  [ -n "$promise" ] && [ "${promise:0:1}" != "#" ] || continue
  [ -z "$only" ] || [[ "$promise $test" == *"$only"* ]] || continue
  dir=$(mktemp -d)
  git ls-files -co --exclude-standard | tar cf - -T - | tar xf - -C "$dir"
  perl -0pi -e "$change" "$dir/$file"
  if cmp -s "$file" "$dir/$file"; then
    echo "STALE  $promise: the change matches nothing in $file"
    failed=1
  elif ! out=$(cd "$dir" && go vet "$package" 2>&1); then
    echo "BROKEN $promise: does not build without the guard: $(head -3 <<<"$out" | tr '\n' ' ')"
    failed=1
  elif out=$(cd "$dir" && timeout 120 go test -count=1 -run "^($test)\$" "$package" 2>&1); then
    echo "PASSES $promise: $test does not notice that the guard is gone"
    failed=1
  else
    echo "ok     $promise: $test fails without the guard: $(grep -v 'caller: status' <<<"$out" | grep -m1 -E '_test.go:[0-9]+:|panic:' | cut -c1-140 | xargs -0)"
  fi
  rm -rf "$dir"
done < scripts/guards.txt
exit $failed
