/**
 * DOC: access of a worker to the key-value service
 */
#ifndef MEDLARD_STORE_PROXY_H
#define MEDLARD_STORE_PROXY_H

#include "libmedlar/medlar.h"

typedef struct worker worker_t;

void store_proxy_init(medlar_store_t *store, worker_t *worker);

#endif /* MEDLARD_STORE_PROXY_H */
