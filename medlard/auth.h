/**
 * DOC: authentication of operators by bearer token
 */
#ifndef MEDLARD_AUTH_H
#define MEDLARD_AUTH_H

#include "medlard/settings.h"

/**
 * struct auth - limit of failed attempts to authenticate
 * @attempts_left: failed attempts that are allowed now
 * @refilled_at: when @attempts_left was last updated, ms
 */
typedef struct auth {
	double attempts_left;
	medlar_time_t refilled_at;
} auth_t;

void auth_init(auth_t *auth, medlar_time_t now);
const operator_setting_t *auth_find_operator(auth_t *auth,
					     const settings_t *settings,
					     const char *authorization,
					     medlar_time_t now, int *error);

#endif /* MEDLARD_AUTH_H */
