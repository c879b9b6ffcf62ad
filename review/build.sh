#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin. They are test files behind a build tag, so that neither the default
# test run nor the deploy build sees them.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go test -c -tags review -o review/bin/standins ./review/standins
