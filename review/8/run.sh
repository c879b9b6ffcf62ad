#!/bin/sh
# Plays this case and writes record.txt; see claim.txt. It needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/stoatrampd ] && [ -x target/review-2 ] || exit 2
exec target/review-2 twice-moved review/8
