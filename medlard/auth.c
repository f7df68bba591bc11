/**
 * DOC: authentication of operators by bearer token
 *
 * The settings hold a hash of each token. A token is compared with all of them,
 * each in constant time, and the rate of failed attempts is limited.
 */
#include <math.h>
#include <sodium.h>
#include <string.h>

#include "medlard/auth.h"

/* Failed attempts allowed per worker: at once, and regained per second. */
#define FAILED_ATTEMPTS_BURST 10.0
#define FAILED_ATTEMPTS_PER_SECOND 1.0

/* Longest Authorization header that is checked, bytes. */
#define TOKEN_MAX 256

/**
 * auth_init() - initialise the limit of failed attempts
 * @auth: memory provided by the caller
 * @now: current time, ms
 */
void auth_init(auth_t *auth, medlar_time_t now)
{
	*auth = (auth_t){ .attempts_left = FAILED_ATTEMPTS_BURST,
			  .refilled_at = now };
}

static void refill_attempts(auth_t *auth, medlar_time_t now)
{
	double regained = (double)(now - auth->refilled_at) / MEDLAR_SECOND *
			  FAILED_ATTEMPTS_PER_SECOND;

	auth->attempts_left = fmin(FAILED_ATTEMPTS_BURST,
				   auth->attempts_left + regained);
	auth->refilled_at = now;
}

static bool is_hash_of(const char *hex, const unsigned char *hash)
{
	unsigned char expected[crypto_generichash_BYTES];
	size_t len = 0;

	if (sodium_hex2bin(expected, sizeof(expected), hex, strlen(hex), NULL,
			   &len, NULL) ||
	    len != sizeof(expected))
		return false;
	return sodium_memcmp(expected, hash, sizeof(expected)) == 0;
}

static const operator_setting_t *find_operator(const settings_t *settings,
					       const char *token)
{
	const operator_setting_t *operators = settings->operators.items;
	const operator_setting_t *found = NULL;
	unsigned char hash[crypto_generichash_BYTES];

	crypto_generichash(hash, sizeof(hash), (const unsigned char *)token,
			   strlen(token), NULL, 0);
	for (size_t i = 0; i < settings->operators.len; i++)
		if (is_hash_of(operators[i].token_hash, hash))
			found = &operators[i];
	return found;
}

/**
 * auth_find_operator() - find the operator that a token belongs to
 * @auth: limit of failed attempts
 * @settings: settings that list the operators
 * @authorization: value of the Authorization header, or NULL
 * @now: current time, ms
 * @error: if NULL is returned, set to %MEDLAR_ERR_AUTH, or to
 *	%MEDLAR_ERR_OVERLOAD after too many failed attempts
 *
 * Return: the operator, valid as long as @settings, or NULL.
 */
const operator_setting_t *auth_find_operator(auth_t *auth,
					     const settings_t *settings,
					     const char *authorization,
					     medlar_time_t now, int *error)
{
	static const char scheme[] = "Bearer ";
	const operator_setting_t *found = NULL;

	*error = MEDLAR_ERR_AUTH;
	if (!authorization ||
	    strncmp(authorization, scheme, sizeof(scheme) - 1) != 0 ||
	    strlen(authorization) > TOKEN_MAX)
		return NULL;
	refill_attempts(auth, now);
	if (auth->attempts_left < 1) {
		*error = MEDLAR_ERR_OVERLOAD;
		return NULL;
	}
	found = find_operator(settings, authorization + sizeof(scheme) - 1);
	if (!found)
		auth->attempts_left -= 1;
	return found;
}
