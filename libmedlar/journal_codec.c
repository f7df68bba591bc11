/**
 * DOC: binary encoding of a journal in the store
 *
 * Integers are little-endian. A header of 40 bytes (magic, version, sealed
 * flag, number of entries, low watermark, sequence, hash of the rest) is
 * followed by the entries in the order of their keys, each 61 bytes and its
 * result.
 */
#include <string.h>

#include "medlar.h"

#define HEADER_SIZE 40
#define ENTRY_SIZE 61
#define FORMAT_VERSION 1
#define HASH_OFFSET 32
#define HASH_SEED 1

static const char magic[4] = { 'M', 'J', 'R', 'N' };

/**
 * medlar_journal_header_size() - encoded size of an empty journal
 *
 * Return: bytes.
 */
size_t medlar_journal_header_size(void)
{
	return HEADER_SIZE;
}

/**
 * medlar_journal_entry_size() - encoded size of an entry with its result
 * @entry: entry
 *
 * Return: bytes.
 */
size_t medlar_journal_entry_size(const medlar_journal_entry_t *entry)
{
	return ENTRY_SIZE + (size_t)entry->result_len;
}

static uint8_t *write_le(uint8_t *to, uint64_t number, size_t bytes)
{
	size_t i;

	for (i = 0; i < bytes; i++)
		to[i] = (uint8_t)(number >> (8 * i));
	return to + bytes;
}

static const uint8_t *read_le(const uint8_t *from, uint64_t *number,
			      size_t bytes)
{
	size_t i;

	*number = 0;
	for (i = 0; i < bytes; i++)
		*number |= (uint64_t)from[i] << (8 * i);
	return from + bytes;
}

static void add_bytes(medlar_buf_t *out, const uint8_t *bytes, size_t len)
{
	medlar_buf_add(out, (medlar_str_t){ (const char *)bytes, len });
}

static void encode_entry(const medlar_journal_t *journal,
			 const medlar_journal_entry_t *entry, medlar_buf_t *out)
{
	uint8_t bytes[ENTRY_SIZE];
	uint8_t *to = bytes;

	memcpy(to, entry->key.bytes, MEDLAR_UUID_LEN);
	to += MEDLAR_UUID_LEN;
	memcpy(to, entry->token.bytes, MEDLAR_TOKEN_LEN);
	to += MEDLAR_TOKEN_LEN;
	to = write_le(to, entry->instance, 8);
	to = write_le(to, (uint64_t)entry->time, 8);
	to = write_le(to, entry->state, 1);
	to = write_le(to, entry->digest, 8);
	write_le(to, entry->result_len, 4);
	add_bytes(out, bytes, sizeof(bytes));
	medlar_buf_add(out, medlar_journal_result(journal, entry));
}

/* Hash over the header up to the hash field, and over all entries. */
static uint64_t compute_hash(medlar_str_t value)
{
	medlar_str_t header = { value.ptr, HASH_OFFSET };
	medlar_str_t rest = { value.ptr + HEADER_SIZE,
			      value.len - HEADER_SIZE };

	return medlar_str_hash(rest, medlar_str_hash(header, HASH_SEED));
}

/**
 * medlar_journal_encode() - encode a journal for the store
 * @journal: journal
 * @out: empty buffer; its error member is set on failure
 */
void medlar_journal_encode(const medlar_journal_t *journal, medlar_buf_t *out)
{
	uint8_t header[HEADER_SIZE] = { 0 };
	uint8_t *to = header;
	size_t i;

	memcpy(to, magic, sizeof(magic));
	to += sizeof(magic);
	to = write_le(to, FORMAT_VERSION, 4);
	to = write_le(to, journal->sealed, 4);
	to = write_le(to, journal->len, 4);
	to = write_le(to, (uint64_t)journal->low_watermark, 8);
	write_le(to, journal->sequence, 8);
	add_bytes(out, header, sizeof(header));
	for (i = 0; i < journal->len; i++)
		encode_entry(journal, &journal->entries[i], out);
	if (out->error)
		return;
	write_le((uint8_t *)out->ptr + HASH_OFFSET,
		 compute_hash(medlar_buf_str(out)), 8);
}

typedef struct journal_reader {
	const uint8_t *at;
	size_t left;
} journal_reader_t;

static int decode_entry(medlar_journal_t *journal, journal_reader_t *reader)
{
	medlar_journal_entry_t entry = { 0 };
	const uint8_t *at = reader->at;
	uint64_t number;

	if (reader->left < ENTRY_SIZE)
		return MEDLAR_ERR_PROTOCOL;
	memcpy(entry.key.bytes, at, MEDLAR_UUID_LEN);
	at += MEDLAR_UUID_LEN;
	memcpy(entry.token.bytes, at, MEDLAR_TOKEN_LEN);
	at += MEDLAR_TOKEN_LEN;
	at = read_le(at, &entry.instance, 8);
	at = read_le(at, &number, 8);
	entry.time = (medlar_time_t)number;
	at = read_le(at, &number, 1);
	if (number >= MEDLAR_CLAIM_STATE_COUNT)
		return MEDLAR_ERR_PROTOCOL;
	entry.state = (medlar_claim_state_t)number;
	at = read_le(at, &entry.digest, 8);
	at = read_le(at, &number, 4);
	if (number > reader->left - ENTRY_SIZE)
		return MEDLAR_ERR_PROTOCOL;
	entry.result_len = (uint32_t)number;
	entry.result_offset = journal->results.len;
	add_bytes(&journal->results, at, entry.result_len);
	if (journal->results.error)
		return journal->results.error;
	reader->at = at + entry.result_len;
	reader->left -= medlar_journal_entry_size(&entry);
	return medlar_journal_append(journal, &entry);
}

static bool has_valid_hash(medlar_str_t value)
{
	uint64_t expected;

	read_le((const uint8_t *)value.ptr + HASH_OFFSET, &expected, 8);
	return expected == compute_hash(value);
}

static int decode_journal(medlar_journal_t *journal, medlar_str_t value)
{
	const uint8_t *at = (const uint8_t *)value.ptr;
	journal_reader_t reader;
	uint64_t version;
	uint64_t sealed;
	uint64_t count;
	uint64_t low_watermark;
	int error = MEDLAR_OK;

	if (value.len < HEADER_SIZE || memcmp(at, magic, sizeof(magic)) != 0)
		return MEDLAR_ERR_PROTOCOL;
	if (!has_valid_hash(value))
		return MEDLAR_ERR_PROTOCOL;
	at = read_le(at + sizeof(magic), &version, 4);
	at = read_le(at, &sealed, 4);
	at = read_le(at, &count, 4);
	at = read_le(at, &low_watermark, 8);
	read_le(at, &journal->sequence, 8);
	if (version != FORMAT_VERSION || sealed > 1)
		return MEDLAR_ERR_PROTOCOL;
	journal->sealed = sealed;
	journal->low_watermark = (medlar_time_t)low_watermark;
	reader = (journal_reader_t){ (const uint8_t *)value.ptr + HEADER_SIZE,
				     value.len - HEADER_SIZE };
	while (count-- > 0 && !error)
		error = decode_entry(journal, &reader);
	if (error)
		return error;
	return reader.left == 0 ? MEDLAR_OK : MEDLAR_ERR_PROTOCOL;
}

/**
 * medlar_journal_decode() - decode a journal from the store
 * @journal: an initialised, empty journal; empty after an error
 * @value: encoded journal; an empty string stands for an empty journal
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_PROTOCOL if @value is damaged or has another
 * format, or %MEDLAR_ERR_NOMEM.
 */
int medlar_journal_decode(medlar_journal_t *journal, medlar_str_t value)
{
	int error;

	if (value.len == 0)
		return MEDLAR_OK;
	error = decode_journal(journal, value);
	if (error)
		medlar_journal_finish(journal);
	return error;
}
