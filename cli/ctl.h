/**
 * DOC: parts shared by the commands of medlarctl
 */
#ifndef CLI_CTL_H
#define CLI_CTL_H

#include <json.h>
#include <stdbool.h>
#include <stdint.h>

#include "libmedlar/medlar.h"

/** enum ctl_exit - exit codes of medlarctl, documented in medlarctl(1) */
typedef enum ctl_exit {
	CTL_OK = 0,
	CTL_REFUSED = 1,
	CTL_USAGE = 2,
	CTL_UNREACHABLE = 3,
	CTL_CONFLICT = 4,
	CTL_UNKNOWN = 5,
} ctl_exit_t;

/**
 * struct ctl - options that all commands share
 * @server: base URL of an instance
 * @token_file: file that holds the operator's token, or NULL
 * @section: section to submit, or NULL
 * @base: revision that a submission was edited from; 0 for the current one
 * @json: print JSON instead of text
 * @colour: standard output is a terminal
 * @failed: an error was reported
 */
typedef struct ctl {
	const char *server;
	const char *token_file;
	const char *section;
	uint64_t base;
	bool json;
	bool colour;
	bool failed;
} ctl_t;

/**
 * struct ctl_command - one command of medlarctl
 * @words: the command, words separated by spaces
 * @arguments: names of its arguments, for the help text
 * @min: least number of arguments
 * @max: largest number of arguments
 * @run: runs it and returns an exit code
 * @help: one line
 */
typedef struct ctl_command {
	const char *words;
	const char *arguments;
	int min;
	int max;
	int (*run)(ctl_t *ctl, char **args);
	const char *help;
} ctl_command_t;

extern const ctl_command_t ctl_questionnaire_commands[];
extern const ctl_command_t ctl_status_commands[];
extern const ctl_command_t ctl_log_commands[];

/**
 * struct ctl_reply - an HTTP reply
 * @status: HTTP status; 0 when the server was not reached
 * @body: body
 * @root: the body as JSON, or NULL
 */
typedef struct ctl_reply {
	long status;
	medlar_buf_t body;
	struct json_object *root;
} ctl_reply_t;

int ctl_call(ctl_t *ctl, const char *method, const char *path,
	     medlar_str_t body, ctl_reply_t *reply);
void ctl_reply_finish(ctl_reply_t *reply);
int ctl_finish(ctl_t *ctl, ctl_reply_t *reply);
int ctl_read_file(const char *path, medlar_buf_t *out);
void ctl_complain(const char *format, ...)
	__attribute__((format(printf, 1, 2)));
void ctl_client_init(ctl_t *ctl, medlar_client_t *client);
void ctl_print_json(struct json_object *value);
const char *ctl_text(struct json_object *object, const char *name);
int64_t ctl_number(struct json_object *object, const char *name);

#endif
