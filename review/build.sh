#!/bin/sh
# Builds the programs of the cases: stand-ins for the platform, its replicas and its
# clients, with the order of events of each case, into build/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
for case in review/[1-5]/case.c
do
	number=${case#review/}
	number=${number%/case.c}
	"${CC:-cc}" -std=gnu11 -O2 -g -Wall -Wextra -pthread \
		-o "build/review/case-$number" "$case" review/stand-in/site.c
done
