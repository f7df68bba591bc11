/**
 * DOC: assignment of write keys to journals
 *
 * The key-value service holds the list of all layouts that a service has used.
 * The position of a layout in the list is its generation. Within a layout each
 * key belongs to one journal. With 12 partitions or more, journals are rotated:
 * the time in the key selects a group of 4. So few journals receive new claims
 * and many keys share a commit, while the entries of the other journals expire.
 * With more partitions the group periods are shorter and the values smaller.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "medlar.h"

#define GROUP_SIZE 4 /* journals that receive claims at the same time */
#define GROUPS_MIN 3 /* fewer groups aren't rotated */
#define PARTITION_HASH_SEED 2
#define LINE_SIZE_MAX 96

/**
 * medlar_layout_make() - create the layout for a configuration
 * @partitions: number of journals; clamped to 1 to %MEDLAR_PARTITIONS_MAX
 * @window: how long keys are remembered, ms
 * @revision: revision of the configuration
 *
 * The group period is chosen so that a group receives claims again only when
 * all its earlier keys are older than the window.
 *
 * Return: the layout.
 */
medlar_layout_t medlar_layout_make(uint32_t partitions, medlar_time_t window,
				   uint64_t revision)
{
	medlar_layout_t layout = {
		.revision = revision,
		.partitions = partitions,
		.groups = 1,
		.group_period = window > 0 ? window : 1,
	};

	if (layout.partitions < 1)
		layout.partitions = 1;
	if (layout.partitions > MEDLAR_PARTITIONS_MAX)
		layout.partitions = MEDLAR_PARTITIONS_MAX;
	if (layout.partitions < GROUP_SIZE * GROUPS_MIN)
		return layout;
	layout.groups = layout.partitions / GROUP_SIZE;
	layout.group_period = layout.group_period / (layout.groups - 1) + 1;
	return layout;
}

/**
 * medlar_layout_locate() - find the journal of a key
 * @layout: layout
 * @key: idempotency key
 *
 * Return: number of the journal, from 0 to the number of partitions - 1.
 */
uint32_t medlar_layout_locate(const medlar_layout_t *layout,
			      const medlar_uuid_t *key)
{
	medlar_str_t bytes = { (const char *)key->bytes, MEDLAR_UUID_LEN };
	uint32_t group_size = layout->partitions / layout->groups;
	uint64_t period = (uint64_t)(medlar_uuid_time(key) /
				     layout->group_period);

	return (uint32_t)(period % layout->groups) * group_size +
	       (uint32_t)(medlar_str_hash(bytes, PARTITION_HASH_SEED) %
			  group_size);
}

static bool supersedes(const medlar_layout_t *layout,
		       const medlar_layout_t *last)
{
	return layout->revision > last->revision &&
	       (layout->partitions != last->partitions ||
		layout->group_period != last->group_period);
}

/**
 * medlar_layouts_add() - append a layout if it is newer and differs
 * @layouts: layouts
 * @layout: layout of the current configuration
 *
 * Return: true if it was appended. The list doesn't change if it is full, or if
 * the layout is equal to the last one or has an older revision.
 */
bool medlar_layouts_add(medlar_layouts_t *layouts,
			const medlar_layout_t *layout)
{
	if (layouts->len == MEDLAR_LAYOUTS_MAX)
		return false;
	if (layouts->len > 0 &&
	    !supersedes(layout, &layouts->items[layouts->len - 1]))
		return false;
	layouts->items[layouts->len++] = *layout;
	return true;
}

static bool is_valid(const medlar_layout_t *layout)
{
	return layout->partitions >= 1 && layout->groups >= 1 &&
	       layout->partitions <= MEDLAR_PARTITIONS_MAX &&
	       layout->groups <= layout->partitions &&
	       layout->group_period >= 1;
}

static int parse_line(medlar_layouts_t *layouts, const char *line)
{
	medlar_layout_t layout;

	if (layouts->len == MEDLAR_LAYOUTS_MAX)
		return MEDLAR_ERR_PROTOCOL;
	/* NOLINTNEXTLINE(cert-err34-c): is_valid() checks the numbers. */
	if (sscanf(line, "%" SCNu64 " %" SCNu32 " %" SCNu32 " %" SCNd64,
		   &layout.revision, &layout.partitions, &layout.groups,
		   &layout.group_period) != 4)
		return MEDLAR_ERR_PROTOCOL;
	if (!is_valid(&layout))
		return MEDLAR_ERR_PROTOCOL;
	layouts->items[layouts->len++] = layout;
	return MEDLAR_OK;
}

/**
 * medlar_layouts_parse() - parse the stored form of a list of layouts
 * @layouts: receives the layouts
 * @text: a line for each layout: revision, partitions, groups, group period
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_PROTOCOL.
 */
int medlar_layouts_parse(medlar_layouts_t *layouts, medlar_str_t text)
{
	char line[LINE_SIZE_MAX];
	int error = MEDLAR_OK;

	layouts->len = 0;
	while (text.len > 0 && !error) {
		const char *end = memchr(text.ptr, '\n', text.len);
		size_t len = end ? (size_t)(end - text.ptr) : text.len;

		if (!end || len >= sizeof(line))
			return MEDLAR_ERR_PROTOCOL;
		memcpy(line, text.ptr, len);
		line[len] = '\0';
		error = parse_line(layouts, line);
		text.ptr += len + 1;
		text.len -= len + 1;
	}
	return error;
}

/**
 * medlar_layouts_write() - append the stored form of a list of layouts
 * @layouts: layouts
 * @out: buffer; its error member is set on failure
 */
void medlar_layouts_write(const medlar_layouts_t *layouts, medlar_buf_t *out)
{
	uint32_t i;

	for (i = 0; i < layouts->len; i++) {
		const medlar_layout_t *layout = &layouts->items[i];

		medlar_buf_printf(out,
				  "%" PRIu64 " %" PRIu32 " %" PRIu32 " %" PRId64
				  "\n",
				  layout->revision, layout->partitions,
				  layout->groups, layout->group_period);
	}
}
