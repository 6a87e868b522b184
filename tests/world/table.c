/* Fake table service: conditional transactions, outages, latency, and answers
 * that are lost after the write took effect. */
#include "world.h"

#include <stdlib.h>
#include <string.h>

/* The adapter times out a call that gets no answer. */
#define TABLE_TIMEOUT_US (1 * CA_US_PER_S)

/* An answer in transit; it owns its rows. */
typedef struct
{
  uint64_t call;
  ca_table_result_t result;
  ca_row_t *rows;
} table_answer_t;

/* A call in transit to the service. */
typedef struct
{
  uint64_t call;
  bool write;
  bool scan;
  char *key;
  ca_table_op_t *ops;
  size_t count;
} table_call_t;

static void
table_answer_free (void *data)
{
  table_answer_t *answer = data;

  for (size_t i = 0; i < answer->result.row_count; i++)
    {
      free ((char *)answer->rows[i].key);
      free ((char *)answer->rows[i].value);
    }
  free (answer->rows);
  free (answer);
}

static void
table_call_free (void *data)
{
  table_call_t *call = data;

  for (size_t i = 0; i < call->count; i++)
    {
      free ((char *)call->ops[i].key);
      free ((char *)call->ops[i].value);
    }
  free (call->ops);
  free (call->key);
  free (call);
}

static void
table_deliver (world_t *world, world_event_t *event)
{
  table_answer_t *answer = event->data;

  answer->result.rows = answer->rows;
  ca_core_table_result (&world->entries[event->entry].core, world->now_us,
                        answer->call, &answer->result);
}

static void
table_add_row (table_answer_t *answer, const world_row_t *row)
{
  ca_row_t *out;

  answer->rows = reallocarray (answer->rows, answer->result.row_count + 1,
                               sizeof *answer->rows);
  out = &answer->rows[answer->result.row_count++];
  out->key = strdup (row->key);
  out->value = strdup (row->value);
  out->version = row->version;
}

static world_row_t *
table_find (const world_t *world, const char *key)
{
  world_row_t *row = NULL;

  HASH_FIND_STR (world->table.rows, key, row);
  return row;
}

static void
table_put (world_t *world, const char *key, const char *value)
{
  world_row_t *row = table_find (world, key);

  if (row == NULL)
    {
      row = calloc (1, sizeof *row);
      row->key = strdup (key);
      HASH_ADD_KEYPTR (hh, world->table.rows, row->key, strlen (row->key), row);
    }
  free (row->value);
  row->value = strdup (value);
  row->version = world->table.version;
}

static void
table_write (world_t *world, const table_call_t *call, table_answer_t *answer)
{
  for (size_t i = 0; i < call->count; i++)
    {
      const world_row_t *row = table_find (world, call->ops[i].key);
      uint64_t current_version = row == NULL ? CA_ROW_ABSENT : row->version;

      if (call->ops[i].version == CA_ROW_ANY
          || call->ops[i].version == current_version)
        continue;
      answer->result.status = CA_TABLE_CONFLICT;
      if (row != NULL)
        table_add_row (answer, row);
      return;
    }
  world->table.version++;
  for (size_t i = 0; i < call->count; i++)
    {
      if (call->ops[i].value != NULL)
        table_put (world, call->ops[i].key, call->ops[i].value);
    }
  answer->result.version = world->table.version;
}

static void
table_read (world_t *world, const table_call_t *call, table_answer_t *answer)
{
  world_row_t *row;
  world_row_t *next;

  if (!call->scan)
    {
      row = table_find (world, call->key);
      if (row != NULL)
        table_add_row (answer, row);
      return;
    }
  HASH_ITER (hh, world->table.rows, row, next)
  {
    if (strncmp (row->key, call->key, strlen (call->key)) == 0)
      table_add_row (answer, row);
  }
}

/* Counts calls per second and keeps the peaks. */
static void
table_count (world_t *world, bool write)
{
  world_table_t *table = &world->table;
  uint64_t second = world->now_us / CA_US_PER_S;

  if (second != table->second)
    {
      table->second = second;
      table->second_reads = 0;
      table->second_writes = 0;
    }
  if (write)
    {
      table->writes++;
      if (++table->second_writes > table->peak_writes)
        table->peak_writes = table->second_writes;
    }
  else
    {
      table->reads++;
      if (++table->second_reads > table->peak_reads)
        table->peak_reads = table->second_reads;
    }
}

static bool
table_loses_answer (world_t *world)
{
  if (world->table.lose_answers > 0)
    {
      world->table.lose_answers--;
      return true;
    }
  return world->table.answer_loss_rate > 0
         && world_random (world) < world->table.answer_loss_rate;
}

/* Handles a call that reached the service. */
static void
table_serve (world_t *world, world_event_t *event)
{
  table_call_t *call = event->data;
  int entry = (int)event->number;
  table_answer_t *answer = calloc (1, sizeof *answer);
  uint64_t delay_us = world->table.latency_us / 2;
  world_event_t *reply;

  answer->call = call->call;
  table_count (world, call->write);
  if (world->table.frozen
      || world_is_partitioned (world, world->entries[entry].zone, "platform"))
    {
      answer->result.status
          = call->write ? CA_TABLE_UNKNOWN : CA_TABLE_UNAVAILABLE;
      delay_us = TABLE_TIMEOUT_US;
    }
  else if (world->table.down)
    answer->result.status = CA_TABLE_UNAVAILABLE;
  else if (call->write)
    {
      table_write (world, call, answer);
      if (table_loses_answer (world))
        {
          answer->result.status = CA_TABLE_UNKNOWN;
          delay_us = TABLE_TIMEOUT_US;
        }
    }
  else
    table_read (world, call, answer);
  reply = world_schedule (world, delay_us, table_deliver, entry);
  reply->incarnation = event->incarnation;
  reply->data = answer;
  reply->free_data = table_answer_free;
}

/* Sends a call, which reaches the service even if its sender dies meanwhile. */
static void
table_send (world_entry_t *entry, table_call_t *call)
{
  world_event_t *event = world_schedule (
      entry->world, entry->world->table.latency_us / 2, table_serve, -1);

  event->number = (uint64_t)entry->index;
  event->incarnation = entry->incarnation;
  event->data = call;
  event->free_data = table_call_free;
}

static void
table_port_read (void *context, uint64_t number, const char *key)
{
  table_call_t *call = calloc (1, sizeof *call);

  call->call = number;
  call->key = strdup (key);
  table_send (context, call);
}

static void
table_port_scan (void *context, uint64_t number, const char *prefix)
{
  table_call_t *call = calloc (1, sizeof *call);

  call->call = number;
  call->scan = true;
  call->key = strdup (prefix);
  table_send (context, call);
}

static void
table_port_write (void *context, uint64_t number, const ca_table_op_t *ops,
                  size_t count)
{
  table_call_t *call = calloc (1, sizeof *call);

  call->call = number;
  call->write = true;
  call->count = count;
  call->ops = calloc (count, sizeof *call->ops);
  for (size_t i = 0; i < count; i++)
    {
      call->ops[i] = ops[i];
      call->ops[i].key = strdup (ops[i].key);
      call->ops[i].value = ops[i].value == NULL ? NULL : strdup (ops[i].value);
    }
  table_send (context, call);
}

void
world_table_ports (ca_ports_t *ports)
{
  ports->table_read = table_port_read;
  ports->table_scan = table_port_scan;
  ports->table_write = table_port_write;
}

void
world_table_finish (world_t *world)
{
  world_row_t *row;
  world_row_t *next;

  HASH_ITER (hh, world->table.rows, row, next)
  {
    HASH_DEL (world->table.rows, row);
    free (row->key);
    free (row->value);
    free (row);
  }
}
