/**
 * DOC: names and descriptions of errors
 */
#include "medlar.h"

typedef struct error_row {
	const char *name;
	const char *text;
} error_row_t;

static const error_row_t error_rows[] = {
	[0] = { "ok", "no error" },
	[-MEDLAR_ERR_NOMEM] = { "no-memory", "out of memory" },
	[-MEDLAR_ERR_SYNTAX] = { "syntax", "the document does not parse" },
	[-MEDLAR_ERR_FIELD] = { "unknown-field", "the field is not known" },
	[-MEDLAR_ERR_TYPE] = { "wrong-type", "the value has the wrong type" },
	[-MEDLAR_ERR_RANGE] = { "out-of-range", "the value is out of range" },
	[-MEDLAR_ERR_MISSING] = { "missing", "a required field is missing" },
	[-MEDLAR_ERR_NOT_FOUND] = { "not-found", "no such object" },
	[-MEDLAR_ERR_CONFLICT] = { "conflict",
				   "the object was changed by someone else" },
	[-MEDLAR_ERR_FULL] = { "full", "no room left" },
	[-MEDLAR_ERR_DEADLINE] = { "deadline", "the deadline has passed" },
	[-MEDLAR_ERR_OVERLOAD] = { "overload", "the service is overloaded" },
	[-MEDLAR_ERR_NO_REPLICA] = { "no-replica",
				     "no replica can take the request" },
	[-MEDLAR_ERR_NO_VERSION] = { "no-version",
				     "no index version covers the request" },
	[-MEDLAR_ERR_CONVICTED] = { "convicted",
				    "this request has crashed upstreams" },
	[-MEDLAR_ERR_LEAVING] = { "leaving", "the instance is shutting down" },
	[-MEDLAR_ERR_STORE_DOWN] = { "store-down",
				     "the key-value service is unavailable" },
	[-MEDLAR_ERR_STORE_UNKNOWN] = { "store-unknown",
					"the store's reply was lost" },
	[-MEDLAR_ERR_AUTH] = { "unauthorized", "the token is not valid" },
	[-MEDLAR_ERR_EXPIRED] = { "expired", "the object is too old" },
	[-MEDLAR_ERR_IO] = { "io", "input or output failed" },
	[-MEDLAR_ERR_PROTOCOL] = { "protocol", "the message is malformed" },
	[-MEDLAR_ERR_CANCELLED] = { "cancelled", "the caller gave up" },
	[-MEDLAR_ERR_TOO_LARGE] = { "too-large", "the message is too large" },
	[-MEDLAR_ERR_CLASH] = { "clash", "the answers contradict each other" },
	[-MEDLAR_ERR_STALE] = { "stale", "a newer revision is known" },
	[-MEDLAR_ERR_UNAVAILABLE] = { "unavailable",
				      "the instance is not ready" },
};

static const error_row_t *find_row(int error)
{
	static const error_row_t unknown = { "unknown", "unknown error" };
	const int count = (int)(sizeof(error_rows) / sizeof(error_rows[0]));

	if (error > 0 || error <= -count)
		return &unknown;
	return &error_rows[-error];
}

/**
 * medlar_error_name() - error code for logs and the API
 * @error: %MEDLAR_OK or a negative &enum medlar_error
 *
 * Return: a constant identifier, ``unknown`` for other values.
 */
const char *medlar_error_name(int error)
{
	return find_row(error)->name;
}

/**
 * medlar_error_text() - description of an error for people
 * @error: %MEDLAR_OK or a negative &enum medlar_error
 *
 * Return: a constant clause, without capital letter and full stop.
 */
const char *medlar_error_text(int error)
{
	return find_row(error)->text;
}
