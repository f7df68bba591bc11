/* Steps of the environment that the explorer of writes chooses from. */
#ifndef TESTS_EXPLORE_STEPS_H
#define TESTS_EXPLORE_STEPS_H

typedef struct chooser {
	int left; /* actions to pass over; negative to count only */
	int count;
} chooser_t;

static bool chosen(chooser_t *chooser, bool enabled)
{
	if (!enabled)
		return false;
	return chooser->count++ == chooser->left;
}

static void execute(world_t *world, attempt_t *attempt)
{
	world->requests[attempt->request].executed++;
	attempt->phase = attempt->phase == SENT ? APPLIED : FREE;
}

static bool step_op(world_t *world, op_t *op, chooser_t *chooser)
{
	bool fault = world->store_faults > 0;

	if (op->phase == ZOMBIE) {
		if (!chosen(chooser, true))
			return false;
		apply_op(world, op);
		free_op(op);
		return true;
	}
	if (chosen(chooser, op->phase == SENT)) {
		apply_op(world, op);
		op->phase = APPLIED;
	} else if (chosen(chooser, op->phase == APPLIED)) {
		end_op(op, op->status, false);
	} else if (chosen(chooser, fault)) {
		world->store_faults--;
		end_op(op, MEDLAR_STORE_UNKNOWN, false);
	} else if (chosen(chooser, fault && op->phase == SENT && op->cas)) {
		world->store_faults--;
		end_op(op, MEDLAR_STORE_UNKNOWN, true);
	} else if (chosen(chooser, fault && op->phase == SENT)) {
		world->store_faults--;
		end_op(op, MEDLAR_STORE_DOWN, false);
	} else {
		return false;
	}
	return true;
}

static bool step_attempt(world_t *world, attempt_t *attempt, chooser_t *chooser)
{
	bool fault = world->upstream_faults > 0;
	medlar_write_t *write = attempt->write;
	phase_t phase = attempt->phase;

	if (chosen(chooser, phase == SENT || phase == ZOMBIE)) {
		execute(world, attempt);
		return true;
	}
	if (phase == ZOMBIE)
		return false;
	if (chosen(chooser, phase == APPLIED)) {
		attempt->phase = FREE;
		medlar_write_reply(write, MEDLAR_EXECUTED_YES,
				   MEDLAR_STR("done"));
		return true;
	}
	if (chosen(chooser, phase == SENT && fault)) {
		attempt->phase = FREE;
		world->upstream_faults--;
		medlar_write_reply(write, MEDLAR_EXECUTED_NO, MEDLAR_STR(""));
		return true;
	}
	if (chosen(chooser, fault)) {
		attempt->phase = phase == SENT ? ZOMBIE : FREE;
		world->upstream_faults--;
		medlar_write_fail(write, MEDLAR_FAULT_RESET);
		return true;
	}
	return false;
}

static bool step_instance(world_t *world, instance_t *instance,
			  chooser_t *chooser)
{
	medlar_time_t due = medlar_client_due(&instance->client);

	if (!instance->alive)
		return false;
	if (chosen(chooser, due != MEDLAR_TIME_NEVER)) {
		if (due > instance->now)
			instance->now = due;
		medlar_client_run(&instance->client, instance->now);
	} else if (chosen(chooser, world->pauses > 0)) {
		world->pauses--;
		instance->now += PATIENCE;
	} else if (chosen(chooser, world->crashes > 0)) {
		world->crashes--;
		crash(world, instance->number);
	} else {
		return false;
	}
	return true;
}

/* Take action number @chooser->left, or count the enabled actions. */
static void step(world_t *world, chooser_t *chooser)
{
	const scenario_t *scenario = world->scenario;
	size_t i;

	for (i = 0; i < scenario->requests; i++) {
		int instance = scenario->instance[i];

		if (chosen(chooser, !world->requests[i].started &&
					    world->instances[instance].alive)) {
			start_request(world, (int)i);
			return;
		}
	}
	for (i = 0; i < OPS_MAX; i++)
		if (world->ops[i].phase != FREE &&
		    step_op(world, &world->ops[i], chooser))
			return;
	for (i = 0; i < ATTEMPTS_LIMIT; i++)
		if (world->attempts[i].phase != FREE &&
		    step_attempt(world, &world->attempts[i], chooser))
			return;
	for (i = 0; i < INSTANCES; i++)
		if (step_instance(world, &world->instances[i], chooser))
			return;
}

static int count_actions(world_t *world)
{
	chooser_t chooser = { -1, 0 };

	step(world, &chooser);
	return chooser.count;
}

#endif
