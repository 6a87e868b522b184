/* Stand-in for a plain service: answers and counts calls.  Its interface:
 * docs/interfaces/service.md. */
#include "common.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  standin_t standin;
  uint64_t boot;
  uint64_t calls;
  bool leaving;
  bool cut_answers; /* close the connection after the work, without an answer */
  char name[64];
} service_t;

static service_t service;

static void
service_call (struct evhttp_request *in, const json_t *body)
{
  const char *run
      = evhttp_find_header (evhttp_request_get_input_headers (in), "X-Run-Id");
  uint32_t lost = service.standin.faults.lose_answers;

  service.calls++;
  if (service.cut_answers && lost == 0)
    service.standin.faults.lose_answers = 1;
  standin_reply_effect (&service.standin, in, 200,
                        json_pack ("{s:s, s:s, s:s, s:I, s:O?}", "service",
                                   service.name, "path", standin_path (in),
                                   "run", run == NULL ? "" : run, "call",
                                   (json_int_t)service.calls, "echo", body));
}

static void
service_health (struct evhttp_request *in)
{
  standin_reply (&service.standin, in, 200,
                 json_pack ("{s:I, s:b, s:i}", "boot", (json_int_t)service.boot,
                            "leaving", service.leaving, "max_batch", 64));
}

static void
service_control (struct evhttp_request *in, const json_t *body)
{
  struct evbuffer *out = evbuffer_new ();
  const json_t *value;

  standin_control (&service.standin, body);
  if ((value = json_object_get (body, "leaving")) != NULL)
    service.leaving = json_is_true (value);
  if ((value = json_object_get (body, "cut_answers")) != NULL)
    service.cut_answers = json_is_true (value);
  evbuffer_add_printf (out, "{\"calls\":%llu}\n",
                       (unsigned long long)service.calls);
  evhttp_send_reply (in, 200, NULL, out);
  evbuffer_free (out);
}

static void
service_serve (struct evhttp_request *in, void *context)
{
  const char *path = standin_path (in);
  json_t *body = standin_body (in);

  (void)context;
  if (strcmp (path, "/control") == 0)
    service_control (in, body);
  else if (standin_is_faulty (&service.standin, in))
    ;
  else if (strcmp (path, "/v1/health") == 0)
    service_health (in);
  else
    service_call (in, body);
  json_decref (body);
}

int
main (int argc, char **argv)
{
  int port = atoi (standin_flag (argc, argv, "port", "8300"));

  standin_init (&service.standin, port, service_serve, NULL);
  service.boot = strtoull (standin_flag (argc, argv, "boot", "1"), NULL, 10);
  snprintf (service.name, sizeof service.name, "%s",
            standin_flag (argc, argv, "name", "service"));
  standin_run (&service.standin);
  return 0;
}
