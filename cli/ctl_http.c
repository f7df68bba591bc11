/**
 * DOC: HTTP client of medlarctl
 */
#include <ctype.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "cli/ctl.h"

#define CALL_TIMEOUT_MS 15000L
#define TOKEN_BYTES_MAX 256

static size_t on_body(char *data, size_t size, size_t count, void *out)
{
	medlar_buf_add(out, (medlar_str_t){ data, size * count });
	return ((medlar_buf_t *)out)->error ? 0 : size * count;
}

/* Formats the Authorization header from the token file. */
static int read_token(const ctl_t *ctl, char *header, size_t size)
{
	medlar_buf_t token;
	size_t len;

	medlar_buf_init(&token);
	if (ctl_read_file(ctl->token_file, &token))
		return MEDLAR_ERR_IO;
	len = token.len;
	while (len > 0 && isspace((unsigned char)token.ptr[len - 1]))
		len--;
	if (len == 0 || len > TOKEN_BYTES_MAX) {
		ctl_print_error("%s: the token must have 1 to %d bytes",
				ctl->token_file, TOKEN_BYTES_MAX);
		medlar_buf_finish(&token);
		return MEDLAR_ERR_RANGE;
	}
	snprintf(header, size, "Authorization: Bearer %.*s", (int)len,
		 token.ptr);
	sodium_memzero(token.ptr, token.len);
	medlar_buf_finish(&token);
	return MEDLAR_OK;
}

static int add_headers(const ctl_t *ctl, struct curl_slist **headers)
{
	char authorization[TOKEN_BYTES_MAX + 64];
	int error;

	*headers = curl_slist_append(NULL, "Content-Type: application/json");
	if (!ctl->token_file)
		return MEDLAR_OK;
	error = read_token(ctl, authorization, sizeof(authorization));
	if (error)
		return error;
	*headers = curl_slist_append(*headers, authorization);
	sodium_memzero(authorization, sizeof(authorization));
	return MEDLAR_OK;
}

static CURLcode perform_request(const ctl_t *ctl, CURL *curl,
				const char *method, const char *path,
				medlar_str_t body, ctl_reply_t *reply)
{
	medlar_buf_t url;
	CURLcode code;

	medlar_buf_init(&url);
	medlar_buf_printf(&url, "%s%s", ctl->server, path);
	curl_easy_setopt(curl, CURLOPT_URL, url.ptr);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reply->body);
	if (body.len > 0) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.ptr);
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)body.len);
	}
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &reply->status);
	medlar_buf_finish(&url);
	return code;
}

/**
 * ctl_call() - send an HTTP request to an instance and wait for the reply
 * @ctl: options
 * @method: HTTP method
 * @path: path and query string of the URL
 * @body: request body; empty for none
 * @reply: receives the reply; ctl_reply_finish() releases it, also after an
 *   error
 *
 * Prints a message if the token cannot be read or no reply is received.
 *
 * Return: %MEDLAR_OK for a reply of any status; %MEDLAR_ERR_IO without a reply
 * within 15 s or without a readable token; %MEDLAR_ERR_RANGE for a token of
 * wrong length; or %MEDLAR_ERR_NOMEM.
 */
int ctl_call(ctl_t *ctl, const char *method, const char *path,
	     medlar_str_t body, ctl_reply_t *reply)
{
	struct curl_slist *headers = NULL;
	CURL *curl = curl_easy_init();
	CURLcode code;
	int error = MEDLAR_ERR_NOMEM;

	*reply = (ctl_reply_t){ 0 };
	if (!curl)
		return error;
	error = add_headers(ctl, &headers);
	if (error)
		goto done;
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	code = perform_request(ctl, curl, method, path, body, reply);
	if (code != CURLE_OK) {
		ctl_print_error("%s: %s; is medlard running there?",
				ctl->server, curl_easy_strerror(code));
		error = MEDLAR_ERR_IO;
		goto done;
	}
	if (reply->body.len > 0)
		reply->root = json_tokener_parse(reply->body.ptr);
done:
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	return error;
}

/**
 * ctl_reply_finish() - release the memory of a reply
 * @reply: reply filled by ctl_call()
 */
void ctl_reply_finish(ctl_reply_t *reply)
{
	json_object_put(reply->root);
	medlar_buf_finish(&reply->body);
}
