#!/bin/sh
# Builds what the scripts of the second review start, besides target/medlarrouter,
# which the build of the deploy file makes: their own stand-ins and the project's.
cd "$(dirname "$0")/.." || exit 2
out=build/review-2
mkdir -p "$out" &&
	make -j8 build/plain/fake-site &&
	gcc -O2 -Wall -Wextra -o "$out/ports" review/stand-in-2/ports.c || exit 2
for source in review/[6-9]/*.c review/10/*.c
do
	test -f "$source" || continue
	name=$(basename "$source" .c)
	gcc -O2 -Wall -Wextra -pthread -o "$out/$name" "$source" || exit 2
done
