/* Prints the fields of all messages between entries, one a line: message,
 * number, name, type, and whether it repeats. */
#include "wire/peer.pb-c.h"

#include <stdio.h>
#include <string.h>

#define MESSAGES_MAX 128

static const ProtobufCMessageDescriptor *messages[MESSAGES_MAX];
static size_t message_count;

static void
add_message (const ProtobufCMessageDescriptor *message)
{
  for (size_t i = 0; i < message_count; i++)
    {
      if (messages[i] == message)
        return;
    }
  if (message_count < MESSAGES_MAX)
    messages[message_count++] = message;
}

static void
print_field (const ProtobufCMessageDescriptor *message,
             const ProtobufCFieldDescriptor *field)
{
  const char *type = "";

  if (field->type == PROTOBUF_C_TYPE_MESSAGE)
    {
      type
          = ((const ProtobufCMessageDescriptor *)field->descriptor)->short_name;
      add_message (field->descriptor);
    }
  printf ("%s %u %s %d %s%s\n", message->short_name, field->id, field->name,
          (int)field->type, type,
          field->label == PROTOBUF_C_LABEL_REPEATED ? " repeated" : "");
}

int
main (void)
{
  add_message (&camphor__envelope__descriptor);
  /* The list grows while it is read. */
  for (size_t i = 0; i < message_count; i++)
    {
      for (unsigned k = 0; k < messages[i]->n_fields; k++)
        print_field (messages[i], &messages[i]->fields[k]);
    }
  return 0;
}
