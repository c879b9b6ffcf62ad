#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. Run it after the build of the deploy file, which makes target/stoatrampd.
cd "$(dirname "$0")/.." || exit 2
exec go test -c -tags review2 -o target/review-2 ./review/standins-2
