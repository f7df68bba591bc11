#!/bin/sh
# Cuts the path from the store to one router for 1.5 s; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
# shellcheck source=review/run-case.sh
. review/run-case.sh
run_case 4
