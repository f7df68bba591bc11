/* Steps of the environment that the explorer of the write protocol takes. */
#ifndef TESTS_EXPLORE_STEPS_H
#define TESTS_EXPLORE_STEPS_H

/* Enabled actions are numbered in the order in which they are checked. */
typedef struct step_choice {
	int index; /* number of the action to take; negative to count only */
	int count; /* enabled actions so far */
} step_choice_t;

static bool is_chosen(step_choice_t *choice, bool enabled)
{
	if (!enabled)
		return false;
	return choice->count++ == choice->index;
}

static void execute_attempt(world_t *world, attempt_t *attempt)
{
	world->requests[attempt->request].executed++;
	attempt->phase = attempt->phase == SENT ? APPLIED : FREE;
}

static bool step_op(world_t *world, op_t *op, step_choice_t *choice)
{
	bool fault = world->store_faults > 0;

	if (op->phase == ORPHANED) {
		if (!is_chosen(choice, true))
			return false;
		apply_op(world, op);
		free_op(op);
		return true;
	}
	if (is_chosen(choice, op->phase == SENT)) {
		apply_op(world, op);
		op->phase = APPLIED;
	} else if (is_chosen(choice, op->phase == APPLIED)) {
		end_op(op, op->status, false);
	} else if (is_chosen(choice, fault)) {
		world->store_faults--;
		end_op(op, MEDLAR_STORE_UNKNOWN, false);
	} else if (is_chosen(choice, fault && op->phase == SENT && op->cas)) {
		world->store_faults--;
		end_op(op, MEDLAR_STORE_UNKNOWN, true);
	} else if (is_chosen(choice, fault && op->phase == SENT)) {
		world->store_faults--;
		end_op(op, MEDLAR_STORE_DOWN, false);
	} else {
		return false;
	}
	return true;
}

static bool step_attempt(world_t *world, attempt_t *attempt,
			 step_choice_t *choice)
{
	bool fault = world->upstream_faults > 0;
	medlar_write_t *write = attempt->write;
	op_phase_t phase = attempt->phase;

	if (is_chosen(choice, phase == SENT || phase == ORPHANED)) {
		execute_attempt(world, attempt);
		return true;
	}
	if (phase == ORPHANED)
		return false;
	if (is_chosen(choice, phase == APPLIED)) {
		attempt->phase = FREE;
		medlar_write_reply(write, MEDLAR_EXECUTED_YES,
				   MEDLAR_STR("done"));
		return true;
	}
	if (is_chosen(choice, phase == SENT && fault)) {
		attempt->phase = FREE;
		world->upstream_faults--;
		medlar_write_reply(write, MEDLAR_EXECUTED_NO, MEDLAR_STR(""));
		return true;
	}
	if (is_chosen(choice, fault)) {
		attempt->phase = phase == SENT ? ORPHANED : FREE;
		world->upstream_faults--;
		medlar_write_fail(write, MEDLAR_FAULT_RESET);
		return true;
	}
	return false;
}

static bool step_instance(world_t *world, instance_t *instance,
			  step_choice_t *choice)
{
	medlar_time_t due = medlar_client_due(&instance->client);

	if (!instance->alive)
		return false;
	if (is_chosen(choice, due != MEDLAR_TIME_NEVER)) {
		if (due > instance->now)
			instance->now = due;
		medlar_client_run(&instance->client, instance->now);
	} else if (is_chosen(choice, world->pauses > 0)) {
		world->pauses--;
		instance->now += REQUEST_TIMEOUT;
	} else if (is_chosen(choice, world->crashes > 0)) {
		world->crashes--;
		crash_instance(world, instance->number);
	} else {
		return false;
	}
	return true;
}

/* Takes action number @choice->index, or counts the enabled actions. */
static void take_step(world_t *world, step_choice_t *choice)
{
	const scenario_t *scenario = world->scenario;
	size_t i;

	for (i = 0; i < scenario->requests; i++) {
		int instance = scenario->instance[i];

		if (is_chosen(choice,
			      !world->requests[i].started &&
				      world->instances[instance].alive)) {
			start_request(world, (int)i);
			return;
		}
	}
	for (i = 0; i < OPS_MAX; i++)
		if (world->ops[i].phase != FREE &&
		    step_op(world, &world->ops[i], choice))
			return;
	for (i = 0; i < ATTEMPTS_IN_FLIGHT_MAX; i++)
		if (world->attempts[i].phase != FREE &&
		    step_attempt(world, &world->attempts[i], choice))
			return;
	for (i = 0; i < INSTANCES; i++)
		if (step_instance(world, &world->instances[i], choice))
			return;
}

static int count_actions(world_t *world)
{
	step_choice_t choice = { -1, 0 };

	take_step(world, &choice);
	return choice.count;
}

#endif
