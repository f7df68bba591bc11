#!/bin/sh
# Kills all routers at once, twice, while a request that crashes replicas comes again;
# see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
# shellcheck source=review/run-case.sh
. review/run-case.sh
run_case 3
