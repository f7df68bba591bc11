/**
 * DOC: load for routers on the users' platform
 */
#ifndef CLI_LOAD_SITE_H
#define CLI_LOAD_SITE_H

#include "cli/load.h"
#include "medlard/h1_client.h"

typedef struct site_load site_load_t;

int load_site_run(load_t *load);
void load_site_check(const load_request_t *request, const h1_message_t *reply,
		     load_result_t *result);

#endif
