/**
 * DOC: what the files of the exchange share
 */
#ifndef LIBROUTE_EXCHANGE_INTERNAL_H
#define LIBROUTE_EXCHANGE_INTERNAL_H

#include "libroute/exchange.h"

bool exchange_is_merged(const exchange_t *exchange);
bool exchange_has_coverage(const exchange_t *exchange);
medlar_time_t exchange_room_wait_end(const exchange_t *exchange,
				     const exchange_part_t *part);
void exchange_return_room(attempt_t *attempt);
medlar_time_t exchange_recall_time(const exchange_t *exchange);
void exchange_settle_part(exchange_part_t *part, exchange_t *exchange, bool ok);
void exchange_send_if_idle(exchange_part_t *part, exchange_t *exchange,
			   medlar_time_t now);
void exchange_recall_deferred(exchange_t *exchange, medlar_time_t now);
void exchange_hedge_part(exchange_part_t *part, exchange_t *exchange,
			 medlar_time_t now);

#endif /* LIBROUTE_EXCHANGE_INTERNAL_H */
