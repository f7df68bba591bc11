/**
 * DOC: the command line of the daemons
 */
#ifndef MEDLARD_OPTIONS_H
#define MEDLARD_OPTIONS_H

#include <stdbool.h>

/**
 * struct options - what the command line asks for
 * @config: settings file
 * @check: only check it
 */
typedef struct options {
	const char *config;
	bool check;
} options_t;

bool options_parse(options_t *options, int argc, char **argv, const char *doc);

#endif /* MEDLARD_OPTIONS_H */
