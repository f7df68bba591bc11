/**
 * DOC: answers to callers
 */
#include <stdlib.h>

#include "libroute/records.h"
#include "platform/headers.h"
#include "router/forward_internal.h"

/**
 * forward_answer_relayed() - pass on the reply of a replica
 * @conn: connection of the caller; may be invalid afterwards
 * @request: request that is answered
 * @reply: reply of the replica
 */
void forward_answer_relayed(h1_conn_t *conn, const forward_request_t *request,
			    const h1_message_t *reply)
{
	medlar_buf_t headers;

	medlar_buf_init(&headers);
	headers_write_relay(reply, request->upstream.method_is_head, &headers);
	h1_conn_answer(conn, reply->status, medlar_buf_str(&headers),
		       medlar_buf_str(&reply->body));
	medlar_buf_finish(&headers);
}

/**
 * forward_answer_status() - answer with a status of our own
 * @conn: connection of the caller; may be invalid afterwards
 * @status: HTTP status
 * @retry_after: when the caller may return, ms; 0 not to tell
 */
void forward_answer_status(h1_conn_t *conn, unsigned status,
			   medlar_time_t retry_after)
{
	medlar_buf_t headers;

	medlar_buf_init(&headers);
	if (retry_after)
		headers_write_retry_after(retry_after, &headers);
	h1_conn_answer(conn, status, medlar_buf_str(&headers),
		       (medlar_str_t){ 0 });
	medlar_buf_finish(&headers);
}

/**
 * forward_answer_merged() - answer with the parts that are in
 * @conn: connection of the caller; may be invalid afterwards
 * @exchange: exchange of the request
 *
 * Return: the HTTP status that was sent.
 */
unsigned forward_answer_merged(h1_conn_t *conn, const exchange_t *exchange)
{
	size_t count = exchange->parts_len;
	medlar_str_t *signatures = calloc(2 * count, sizeof(*signatures));
	medlar_str_t *bodies = signatures + count;
	medlar_buf_t headers;
	medlar_buf_t body;
	unsigned status = 200;
	size_t answered_len = 0;

	medlar_buf_init(&headers);
	medlar_buf_init(&body);
	for (size_t i = 0; signatures && i < count; i++) {
		const exchange_part_t *part = &exchange->parts[i];

		if (!part->ok)
			continue;
		signatures[answered_len] = medlar_buf_str(&part->signature);
		bodies[answered_len++] = medlar_buf_str(&part->body);
	}
	if (!signatures ||
	    records_merge(bodies, answered_len, exchange->route->top_k, &body))
		status = 500;
	else
		headers_write_parts(signatures, answered_len,
				    count - answered_len, &headers);
	h1_conn_answer(conn, status, medlar_buf_str(&headers),
		       medlar_buf_str(&body));
	medlar_buf_finish(&headers);
	medlar_buf_finish(&body);
	free(signatures);
	return status;
}
