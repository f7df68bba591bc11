/**
 * DOC: how write keys spread over journals, and how that may change
 *
 * The layouts that a service has used are kept in the key-value service, each
 * under its position in the list, the generation. A key always belongs to one
 * journal of a layout. With 12 partitions or more the journals take turns: the
 * time in the key selects a group of 4, so that few journals receive new claims
 * and many keys share a commit, while the others only age. More partitions mean
 * shorter turns and smaller values.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "medlar.h"

#define GROUP 4 /* journals that receive claims at a time */
#define SLICES_MIN 3 /* groups from which journals take turns */
#define PLACE_SEED 2
#define LINE_MAX_LEN 96

/**
 * medlar_layout_make() - the layout for a configuration
 * @partitions: number of journals; clamped to 1 to %MEDLAR_PARTITIONS_MAX
 * @window: how long keys are remembered, ms
 * @revision: revision of the configuration
 *
 * A group of journals comes round again when its former keys are past the
 * window.
 *
 * Return: the layout.
 */
medlar_layout_t medlar_layout_make(uint32_t partitions, medlar_time_t window,
				   uint64_t revision)
{
	medlar_layout_t layout = {
		.revision = revision,
		.partitions = partitions,
		.slices = 1,
		.slice = window > 0 ? window : 1,
	};

	if (layout.partitions < 1)
		layout.partitions = 1;
	if (layout.partitions > MEDLAR_PARTITIONS_MAX)
		layout.partitions = MEDLAR_PARTITIONS_MAX;
	if (layout.partitions < GROUP * SLICES_MIN)
		return layout;
	layout.slices = layout.partitions / GROUP;
	layout.slice = layout.slice / (layout.slices - 1) + 1;
	return layout;
}

/**
 * medlar_layout_place() - the journal of a key
 * @layout: layout
 * @key: idempotency key
 *
 * Return: the number of the journal, below the number of partitions.
 */
uint32_t medlar_layout_place(const medlar_layout_t *layout,
			     const medlar_uuid_t *key)
{
	medlar_str_t bytes = { (const char *)key->bytes, MEDLAR_UUID_LEN };
	uint32_t width = layout->partitions / layout->slices;
	uint64_t turn = (uint64_t)(medlar_uuid_time(key) / layout->slice);

	return (uint32_t)(turn % layout->slices) * width +
	       (uint32_t)(medlar_str_hash(bytes, PLACE_SEED) % width);
}

static bool supersedes(const medlar_layout_t *layout,
		       const medlar_layout_t *last)
{
	return layout->revision > last->revision &&
	       (layout->partitions != last->partitions ||
		layout->slice != last->slice);
}

/**
 * medlar_layouts_add() - append a layout if it is newer and differs
 * @layouts: layouts
 * @layout: layout that the configuration asks for
 *
 * Return: whether it was appended. An older revision, an equal layout and a
 * full list leave the last layout in force.
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
	return layout->partitions >= 1 && layout->slices >= 1 &&
	       layout->partitions <= MEDLAR_PARTITIONS_MAX &&
	       layout->slices <= layout->partitions && layout->slice >= 1;
}

static int parse_line(medlar_layouts_t *layouts, const char *line)
{
	medlar_layout_t layout;

	if (layouts->len == MEDLAR_LAYOUTS_MAX)
		return MEDLAR_ERR_PROTOCOL;
	/* NOLINTNEXTLINE(cert-err34-c): is_valid() checks the numbers. */
	if (sscanf(line, "%" SCNu64 " %" SCNu32 " %" SCNu32 " %" SCNd64,
		   &layout.revision, &layout.partitions, &layout.slices,
		   &layout.slice) != 4)
		return MEDLAR_ERR_PROTOCOL;
	if (!is_valid(&layout))
		return MEDLAR_ERR_PROTOCOL;
	layouts->items[layouts->len++] = layout;
	return MEDLAR_OK;
}

/**
 * medlar_layouts_parse() - read the stored form
 * @layouts: the layouts on success
 * @text: a line for each layout: revision, partitions, slices, slice
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_PROTOCOL.
 */
int medlar_layouts_parse(medlar_layouts_t *layouts, medlar_str_t text)
{
	char line[LINE_MAX_LEN];
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
 * medlar_layouts_write() - append the stored form
 * @layouts: layouts
 * @out: buffer; its error member tells of failure
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
				  layout->slices, layout->slice);
	}
}
