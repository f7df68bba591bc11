#!/bin/sh
# Builds what the scripts of the second review start, besides target/medlarrouter,
# which the build of the deploy file makes: their own stand-ins and the project's.
cd "$(dirname "$0")/.." || exit 2
out=build/review-2
mkdir -p "$out" &&
	make -j8 build/plain/fake-site &&
	gcc -O2 -Wall -Wextra -o "$out/ports" review/stand-in-2/ports.c || exit 2
for source in review/6/*.c
do
	name=$(basename "$source" .c)
	gcc -O2 -Wall -Wextra -pthread -o "$out/$name" "$source" || exit 2
done
# Case 9 is written for the stand-ins of the first review.
mkdir -p build/review &&
	gcc -std=gnu11 -O2 -Wall -Wextra -pthread -o build/review/case-9 \
		review/9/case.c review/stand-in/site.c || exit 2
