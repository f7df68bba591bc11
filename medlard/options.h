/**
 * DOC: command line of the daemons
 */
#ifndef MEDLARD_OPTIONS_H
#define MEDLARD_OPTIONS_H

#include <stdbool.h>

/**
 * struct options - options of a daemon
 * @config: path of the settings file
 * @check_only: check the settings file and exit
 */
typedef struct options {
	const char *config;
	bool check_only;
} options_t;

bool options_parse(options_t *options, int argc, char **argv, const char *doc);

#endif /* MEDLARD_OPTIONS_H */
