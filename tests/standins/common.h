/* Shared by the stand-ins: an HTTP server with JSON, and faults that a control
 * call enables. */
#ifndef CA_TESTS_STANDINS_COMMON_H
#define CA_TESTS_STANDINS_COMMON_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  bool down;             /* refuse every call with 503 and without effect */
  bool frozen;           /* accept calls and never reply */
  uint32_t slow_ms;      /* delay of every reply */
  uint32_t lose_answers; /* number of calls whose effect happens but whose reply
                            is dropped */
  bool refuse_starts;    /* refuse to start anything new */
} standin_faults_t;

typedef struct
{
  struct event_base *base;
  struct evhttp *http;
  standin_faults_t faults;
} standin_t;

/* Listens on 127.0.0.1; exits with a message on failure. */
void standin_init (standin_t *standin, int port,
                   void (*serve) (struct evhttp_request *, void *),
                   void *context);

/* Serves until SIGTERM, then frees everything. */
void standin_run (standin_t *standin);

/* Monotonic time in microseconds. */
uint64_t standin_now_us (void);

/* Parsed body, or NULL; the caller owns the reference. */
json_t *standin_body (struct evhttp_request *in);

/* Value of a query parameter as a number, or `default_value`. */
int64_t standin_query (struct evhttp_request *in, const char *name,
                       int64_t default_value);

/* Path of the request, "" if there is none. */
const char *standin_path (struct evhttp_request *in);

/* Replies with JSON, subject to the faults; releases the reference. */
void standin_reply (standin_t *standin, struct evhttp_request *in, int status,
                    json_t *body);

/* Like standin_reply, for a call with an effect: its reply may be dropped. */
void standin_reply_effect (standin_t *standin, struct evhttp_request *in,
                           int status, json_t *body);

/* Applies the faults "down" and "frozen"; true if the call needs no further
 * handling. */
bool standin_is_faulty (standin_t *standin, struct evhttp_request *in);

/* Sets the faults named in a control call's body. */
void standin_control (standin_t *standin, const json_t *body);

/* Value of "--NAME VALUE" on the command line, or `default_value`. */
const char *standin_flag (int argc, char **argv, const char *name,
                          const char *default_value);

#endif
