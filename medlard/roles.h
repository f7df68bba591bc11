/**
 * DOC: authentication of operators by bearer token
 */
#ifndef MEDLARD_ROLES_H
#define MEDLARD_ROLES_H

#include "medlard/settings.h"

/**
 * struct roles - limit of failed attempts to authenticate
 * @attempts_left: failed attempts that are allowed now
 * @refilled_at: when @attempts_left was last updated, ms
 */
typedef struct roles {
	double attempts_left;
	medlar_time_t refilled_at;
} roles_t;

void roles_init(roles_t *auth, medlar_time_t now);
const operator_setting_t *roles_find(roles_t *auth, const settings_t *settings,
				     const char *authorization,
				     medlar_time_t now, int *error);

#endif /* MEDLARD_ROLES_H */
