/**
 * DOC: listeners for readiness checks, addresses of instances and metrics
 */
#include "libroute/entry_points.h"
#include "platform/entry_point.h"
#include "router/daemon_internal.h"

/* Most instances that are considered when addresses for callers are chosen. */
#define ENTRY_POINTS_MAX 512

static size_t list_entry_points(daemon_state_t *state, entry_point_t *points,
				size_t points_max)
{
	const peer_instance_t *peer;
	size_t len = 0;

	if (daemon_is_ready(state))
		points[len++] = (entry_point_t){
			medlar_str_from(state->settings.callers),
			medlar_str_from(state->settings.zone),
			state->peers.local_percent,
		};
	TAILQ_FOREACH(peer, &state->peers.list, link)
		if (len < points_max && peer->ready && !peer->leaving &&
		    peer_is_live(&state->peers, peer))
			points[len++] = (entry_point_t){
				medlar_str_from(peer->caller_address),
				medlar_str_from(peer->zone),
				peer->local_percent,
			};
	return len;
}

static void answer_addresses(daemon_state_t *state, h1_conn_t *conn,
			     medlar_str_t zone)
{
	entry_point_t points[ENTRY_POINTS_MAX];
	medlar_str_t addresses[ENTRY_POINT_ADDRESSES_MAX];
	size_t len = list_entry_points(state, points, ENTRY_POINTS_MAX);
	medlar_buf_t body;

	len = entry_points_choose(points, len, zone);
	if (len == 0) {
		h1_conn_answer_status(conn, 503);
		return;
	}
	if (len > ENTRY_POINT_ADDRESSES_MAX)
		len = ENTRY_POINT_ADDRESSES_MAX;
	for (size_t i = 0; i < len; i++)
		addresses[i] = points[i].address;
	medlar_buf_init(&body);
	entry_point_write_addresses(addresses, len, daemon_address_ttl(state),
				    &body);
	h1_conn_answer(conn, 200,
		       MEDLAR_STR("Content-Type: application/json\r\n"),
		       medlar_buf_str(&body));
	medlar_buf_finish(&body);
}

static void on_entry_request(h1_conn_t *conn, void *data)
{
	daemon_state_t *state = data;
	medlar_str_t zone;

	switch (entry_point_parse_target(
		h1_message_target(&conn->parser.message), &zone)) {
	case ENTRY_POINT_ADDRESSES:
		answer_addresses(state, conn, zone);
		break;
	case ENTRY_POINT_READY:
		h1_conn_answer_status(conn, daemon_is_ready(state) ? 200 : 503);
		break;
	default:
		h1_conn_answer_status(conn, 404);
	}
}

static void update_gauges(daemon_state_t *state)
{
	int64_t *gauges = state->stats.gauges;

	if (state->forward.routes)
		gauges[GAUGE_CONFIG_VERSION] =
			(int64_t)state->forward.routes->version;
	gauges[GAUGE_STORE_REVISION] = (int64_t)state->mirror.position.revision;
	gauges[GAUGE_STORE_EPOCH] = (int64_t)state->store.epoch;
	gauges[GAUGE_BEYOND_STORE] = (int64_t)state->mirror.beyond_store;
	gauges[GAUGE_STORE_AGE_MS] = store_silence(&state->store);
	gauges[GAUGE_REPLICAS] = (int64_t)state->fleet.replicas_len;
	gauges[GAUGE_INSTANCES] = state->fleet.instances;
	gauges[GAUGE_CALLER_CONNECTIONS] =
		(int64_t)state->forward.server.conns_len;
	state->stats.counts[STAT_MOVED_BY_LIMIT] = state->fleet.moved_by_limit;
	state->stats.counts[STAT_BAD_REQUESTS] +=
		state->forward.server.bad_requests;
	state->forward.server.bad_requests = 0;
}

static void on_metrics_request(h1_conn_t *conn, void *data)
{
	daemon_state_t *state = data;
	medlar_buf_t body;

	update_gauges(state);
	medlar_buf_init(&body);
	stats_write(&state->stats, &body);
	h1_conn_answer(conn, 200, MEDLAR_STR("Content-Type: text/plain\r\n"),
		       medlar_buf_str(&body));
	medlar_buf_finish(&body);
}

static const h1_handler_t entry_handler = { .request = on_entry_request };
static const h1_handler_t metrics_handler = { .request = on_metrics_request };

static int open_listener(daemon_state_t *state, h1_server_t *server,
			 const char *address_text, const h1_handler_t *handler)
{
	static const h1_server_options_t options = {
		.message = { 16384, 16384 },
		.receive_ms = 2 * MEDLAR_SECOND,
		.idle_ms = 30 * MEDLAR_SECOND,
	};
	struct sockaddr_in address;

	if (router_address_parse(medlar_str_from(address_text), &address))
		return MEDLAR_ERR_SYNTAX;
	return h1_server_init(server, &state->loop,
			      (const struct sockaddr *)&address, &options,
			      (size_t)state->settings.connections_max, handler,
			      state);
}

/**
 * listeners_open() - listen for readiness checks, address queries and metrics
 * @state: the router process
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_SYNTAX or %MEDLAR_ERR_IO.
 */
int listeners_open(daemon_state_t *state)
{
	const router_settings_t *settings = &state->settings;
	int error = open_listener(state, &state->readiness, settings->readiness,
				  &entry_handler);

	if (!error)
		error = open_listener(state, &state->directory,
				      settings->directory, &entry_handler);
	if (!error && settings->metrics[0])
		error = open_listener(state, &state->metrics, settings->metrics,
				      &metrics_handler);
	return error;
}

/**
 * listeners_close() - close the listeners and their connections
 * @state: the router process
 */
void listeners_close(daemon_state_t *state)
{
	h1_server_finish(&state->metrics);
	h1_server_finish(&state->directory);
	h1_server_finish(&state->readiness);
}
