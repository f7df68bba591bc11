#!/bin/sh
# Builds the stand-in of the third review. To be run after the build of the deploy
# file, which makes target/medlarrouter.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-3
${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -pthread -o build/review-3/site \
	review/stand-in-3/*.c
