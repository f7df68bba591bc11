/**
 * DOC: requests that wait for leave to be tried after they crashed replicas
 */
#include <stdlib.h>

#include "router/trials.h"

/* Two ways between instances, and a loss of neither: then the request is refused. */
#define WAIT_MS 150
/* Requests that wait at a time; further ones are refused. */
#define WAITS_MAX 64

static void remove_wait(trials_t *trials, trial_wait_t *wait)
{
	TAILQ_REMOVE(&trials->waits, wait, link);
	trials->waits_len--;
	free(wait);
}

static void end_wait(trials_t *trials, trial_wait_t *wait, bool granted)
{
	h1_conn_t *conn = wait->conn;
	medlar_time_t waited = trials->loop->now - wait->asked_at;

	remove_wait(trials, wait);
	trials->resume(conn, granted, waited, trials->data);
}

static void set_timer(trials_t *trials, const trial_wait_t *oldest)
{
	if (oldest)
		(void)medlar_timer_set(trials->loop->client, &trials->timer,
				       oldest->asked_at + WAIT_MS);
}

static void on_timer(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data)
{
	trials_t *trials = data;
	trial_wait_t *wait = TAILQ_FIRST(&trials->waits);

	(void)client;
	(void)timer;
	while (wait && now - wait->asked_at >= WAIT_MS) {
		trial_wait_t *next = TAILQ_NEXT(wait, link);

		end_wait(trials, wait, false);
		wait = next;
	}
	set_timer(trials, wait);
}

/**
 * trials_init() - initialise without requests
 * @trials: uninitialised memory
 * @loop: event loop
 * @suspects: requests that crashed replicas
 * @peers: other instances
 * @resume: called when the wait of a request has ended
 * @data: passed to @resume
 */
void trials_init(trials_t *trials, loop_t *loop, suspects_t *suspects,
		 peers_t *peers,
		 void (*resume)(h1_conn_t *, bool, medlar_time_t, void *),
		 void *data)
{
	*trials = (trials_t){ .loop = loop,
			      .suspects = suspects,
			      .peers = peers,
			      .resume = resume,
			      .data = data };
	TAILQ_INIT(&trials->waits);
	medlar_timer_init(&trials->timer, on_timer, trials);
}

/**
 * trials_finish() - forget all requests
 * @trials: initialised trials; the connections are closed already
 */
void trials_finish(trials_t *trials)
{
	trial_wait_t *wait;
	trial_wait_t *next;

	medlar_timer_clear(trials->loop->client, &trials->timer);
	for (wait = TAILQ_FIRST(&trials->waits); wait; wait = next) {
		next = TAILQ_NEXT(wait, link);
		remove_wait(trials, wait);
	}
}

/**
 * trials_ask() - ask for leave to send a request to a replica
 * @trials: trials
 * @conn: connection with the request, which must not be answered until it is resumed
 * @fingerprint: fingerprint of the request; another instance decides on it
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_FULL if the request cannot wait.
 */
int trials_ask(trials_t *trials, h1_conn_t *conn, uint64_t fingerprint)
{
	const peer_instance_t *owner = peers_owner_of(trials->peers,
						      fingerprint);
	trial_wait_t *wait;

	if (!owner || trials->waits_len == WAITS_MAX)
		return MEDLAR_ERR_FULL;
	wait = calloc(1, sizeof(*wait));
	if (!wait)
		return MEDLAR_ERR_FULL;
	*wait = (trial_wait_t){ .conn = conn,
				.fingerprint = fingerprint,
				.asked_at = trials->loop->now };
	TAILQ_INSERT_TAIL(&trials->waits, wait, link);
	trials->waits_len++;
	if (trials->waits_len == 1)
		set_timer(trials, wait);
	peers_send_trial(trials->peers, owner->hash, fingerprint,
			 GOSSIP_TRIAL_ASK);
	return MEDLAR_OK;
}

/**
 * trials_forget() - drop the request of a connection that is about to be closed
 * @trials: trials
 * @conn: connection
 *
 * Return: whether its request was waiting.
 */
bool trials_forget(trials_t *trials, const h1_conn_t *conn)
{
	trial_wait_t *wait;

	TAILQ_FOREACH(wait, &trials->waits, link)
		if (wait->conn == conn) {
			remove_wait(trials, wait);
			return true;
		}
	return false;
}

static void answer_ask(trials_t *trials, const gossip_trial *message)
{
	bool granted = suspects_grant_trial(trials->suspects, message->request,
					    trials->loop->now);

	peers_send_trial(trials->peers, message->sender, message->request,
			 granted ? GOSSIP_TRIAL_GRANT : GOSSIP_TRIAL_DENY);
}

/* Leave is for one request: the others that wait ask again when they return. */
static void apply_reply(trials_t *trials, const gossip_trial *message)
{
	trial_wait_t *wait;

	TAILQ_FOREACH(wait, &trials->waits, link)
		if (wait->fingerprint == message->request) {
			end_wait(trials, wait,
				 message->kind == GOSSIP_TRIAL_GRANT);
			return;
		}
}

/**
 * trials_receive() - take a message of another instance
 * @trials: trials
 * @message: message
 */
void trials_receive(trials_t *trials, const gossip_trial *message)
{
	switch (message->kind) {
	case GOSSIP_TRIAL_ASK:
		answer_ask(trials, message);
		break;
	case GOSSIP_TRIAL_ANSWERED:
		suspects_add_answer(trials->suspects, message->request,
				    trials->loop->now);
		break;
	default:
		apply_reply(trials, message);
	}
}

/**
 * trials_report_answer() - tell the instance that decides that a trial was answered
 * @trials: trials
 * @fingerprint: fingerprint of the request
 */
void trials_report_answer(trials_t *trials, uint64_t fingerprint)
{
	const peer_instance_t *owner = peers_owner_of(trials->peers,
						      fingerprint);

	if (owner)
		peers_send_trial(trials->peers, owner->hash, fingerprint,
				 GOSSIP_TRIAL_ANSWERED);
}
