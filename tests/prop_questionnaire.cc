/* Properties of configurations generated from answers, and of estimates. */
#include "prop.hh"

#include <cstring>

static medlar_product_t make_product(int target, int percentile, int writes)
{
	medlar_product_t product = {};

	std::strcpy(product.name, "s");
	product.writes = writes;
	product.deadline = 20000;
	product.target = target;
	product.percentile = percentile;
	product.coverage = 90;
	product.peak_rate = 10;
	product.window = 24;
	return product;
}

static medlar_operations_t make_operations(int shards, int replicas, int extra)
{
	medlar_operations_t operations = {};

	std::strcpy(operations.name, "s");
	operations.shards = shards;
	operations.replicas = replicas;
	operations.slots = 3;
	operations.connections = 30;
	operations.connect_cost = 5;
	operations.service_median = 20;
	operations.service_p99 = 80;
	operations.extra_load = extra;
	return operations;
}

static int generate(medlar_product_t product, medlar_operations_t operations,
		    std::string *out)
{
	medlar_questionnaire_t answers = {};
	medlar_client_t client;
	medlar_config_t config;
	medlar_buf_t buf;

	answers.products = { &product, 1 };
	answers.operations = { &operations, 1 };
	answers.instances = 4;
	answers.address_ttl = 5;
	medlar_client_init(&client, MEDLAR_STR("a"), 0, 1);
	int error = medlar_config_generate(&client, &answers, MEDLAR_STR("q"),
					   1, &config);
	medlar_buf_init(&buf);
	if (!error)
		medlar_config_write(&config, &buf);
	out->assign(buf.ptr ? buf.ptr : "");
	if (!error)
		medlar_config_finish(&config);
	medlar_buf_finish(&buf);
	medlar_client_finish(&client);
	return error;
}

static int parse_config(const std::string &text)
{
	medlar_client_t client;
	medlar_config_t config;

	medlar_client_init(&client, MEDLAR_STR("a"), 0, 1);
	int error = medlar_config_parse(&client, &config, MEDLAR_STR("c"),
					{ text.data(), text.size() });
	if (!error)
		medlar_config_finish(&config);
	medlar_client_finish(&client);
	return error;
}

int main()
{
	Properties props(4);

	props.check("equal_answers_give_equal_bytes_that_parse", [] {
		auto product = make_product(*rc::gen::inRange(1, 5000),
					    *rc::gen::inRange(50, 100),
					    *rc::gen::inRange(0, 2));
		auto operations = make_operations(*rc::gen::inRange(1, 200),
						  *rc::gen::inRange(1, 9),
						  *rc::gen::inRange(0, 100));
		std::string first;
		std::string second;
		int error = generate(product, operations, &first);

		RC_ASSERT(generate(product, operations, &second) == error);
		RC_ASSERT(first == second);
		if (!error)
			RC_ASSERT(parse_config(first) == MEDLAR_OK);
	});
	props.check("more_extra_load_never_hedges_later", [] {
		double less = *rc::gen::inRange(0, 1000) / 1000.0;
		double more = *rc::gen::inRange(0, 1000) / 1000.0;

		RC_PRE(less <= more);
		RC_ASSERT(medlar_estimate_hedge_quantile(more) <=
			  medlar_estimate_hedge_quantile(less));
	});
	props.check("the_estimated_latency_is_an_accepted_target", [] {
		auto product = make_product(1, *rc::gen::inRange(50, 100), 0);
		auto operations = make_operations(*rc::gen::inRange(1, 200),
						  *rc::gen::inRange(1, 9),
						  *rc::gen::inRange(0, 50));
		medlar_estimate_t estimate;
		std::string text;

		product.priority = MEDLAR_COVERAGE_FIRST;
		RC_ASSERT(generate(product, operations, &text) ==
			  MEDLAR_ERR_CLASH);
		medlar_estimate_service(&product, &operations, &estimate);
		product.target = (int64_t)estimate.latency + 1;
		RC_ASSERT(generate(product, operations, &text) == MEDLAR_OK);
	});
	props.check("more_shards_are_never_expected_to_be_faster", [] {
		auto product = make_product(100, 99, 0);
		int shards = *rc::gen::inRange(1, 200);
		medlar_estimate_t few;
		medlar_estimate_t many;
		auto small = make_operations(shards, 3, 5);
		auto large = make_operations(shards + 1, 3, 5);

		medlar_estimate_service(&product, &small, &few);
		medlar_estimate_service(&product, &large, &many);
		RC_ASSERT(many.latency >= few.latency * 0.999);
	});
	return props.status();
}
