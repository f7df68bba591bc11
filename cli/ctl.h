/**
 * DOC: interface shared by the commands of medlarctl
 */
#ifndef CLI_CTL_H
#define CLI_CTL_H

#include <json.h>
#include <stdbool.h>
#include <stdint.h>

#include "libmedlar/medlar.h"

/**
 * enum ctl_exit - exit codes of medlarctl, documented in medlarctl(1)
 * @CTL_OK: the command succeeded
 * @CTL_REFUSED: the input or the request was rejected
 * @CTL_USAGE: wrong command line or unreadable input file
 * @CTL_UNREACHABLE: no HTTP reply from the instance
 * @CTL_CONFLICT: the section was changed since the base revision
 * @CTL_UNKNOWN: the outcome is not known, or no log line was found
 */
typedef enum ctl_exit {
	CTL_OK = 0,
	CTL_REFUSED = 1,
	CTL_USAGE = 2,
	CTL_UNREACHABLE = 3,
	CTL_CONFLICT = 4,
	CTL_UNKNOWN = 5,
} ctl_exit_t;

/**
 * struct ctl - command-line options and state shared by all commands
 * @server: base URL of an instance
 * @token_file: path of the file with the operator's token, or NULL
 * @section: name of the questionnaire section to submit, or NULL
 * @base_revision: revision that the submitted file was edited from; 0 for
 *   the current one
 * @json: whether to print JSON instead of text
 * @colour: whether standard output is a terminal
 * @failed: whether an error was reported
 */
typedef struct ctl {
	const char *server;
	const char *token_file;
	const char *section;
	uint64_t base_revision;
	bool json;
	bool colour;
	bool failed;
} ctl_t;

/**
 * struct ctl_command - entry of a command table
 * @words: the command, as words separated by spaces; NULL ends the table
 * @arguments: placeholders of its arguments, for the help text
 * @min: minimum number of arguments
 * @max: maximum number of arguments
 * @run: runs the command; returns a &enum ctl_exit code. @args ends with NULL
 * @help: one-line description
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
 * struct ctl_reply - HTTP reply of an instance
 * @status: HTTP status; 0 if there was no reply
 * @body: response body
 * @root: the body parsed as JSON, or NULL if it is not JSON
 */
typedef struct ctl_reply {
	long status;
	medlar_buf_t body;
	struct json_object *root;
} ctl_reply_t;

int ctl_call(ctl_t *ctl, const char *method, const char *path,
	     medlar_str_t body, ctl_reply_t *reply);
void ctl_reply_finish(ctl_reply_t *reply);
int ctl_reply_check(ctl_t *ctl, ctl_reply_t *reply);
int ctl_read_file(const char *path, medlar_buf_t *out);
void ctl_print_error(const char *format, ...)
	__attribute__((format(printf, 1, 2)));
void ctl_client_init(ctl_t *ctl, medlar_client_t *client);
void ctl_print_json(struct json_object *value);
const char *ctl_member_text(struct json_object *object, const char *name);
int64_t ctl_member_number(struct json_object *object, const char *name);

#endif
