#!/bin/sh
# Repeats some refusals of a replica late, while its service is busy; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
# shellcheck source=review/run-case.sh
. review/run-case.sh
run_case 1
