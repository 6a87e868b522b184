/* What the stand-ins share: an HTTP server with JSON, and faults that a
 * control call switches on. */
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
  bool down;             /* every call is refused with 503, nothing done */
  bool frozen;           /* calls are taken and never answered */
  uint32_t slow_ms;      /* answers come this much later */
  uint32_t lose_answers; /* next effects whose answer is lost */
  bool refuse_starts;    /* nothing new is begun */
} standin_faults_t;

typedef struct
{
  struct event_base *base;
  struct evhttp *http;
  standin_faults_t faults;
} standin_t;

/* Listens on 127.0.0.1; ends the process with a message if it cannot. */
void standin_init (standin_t *standin, int port,
                   void (*serve) (struct evhttp_request *, void *),
                   void *context);

/* Serves until SIGTERM, then frees everything. */
void standin_run (standin_t *standin);

/* Microseconds of a monotonic clock. */
uint64_t standin_now_us (void);

/* Parsed body, or NULL; the caller owns the reference. */
json_t *standin_body (struct evhttp_request *in);

/* Value of a query parameter as a number, or `absent`. */
int64_t standin_query (struct evhttp_request *in, const char *name,
                       int64_t default_value);

/* Path of the request, "" if it has none. */
const char *standin_path (struct evhttp_request *in);

/* Answers with JSON, as the faults allow; takes the reference. */
void standin_reply (standin_t *standin, struct evhttp_request *in, int status,
                    json_t *body);

/* The same for a call with an effect, whose answer may be made to be lost. */
void standin_reply_effect (standin_t *standin, struct evhttp_request *in,
                           int status, json_t *body);

/* Handles "down" and "frozen"; true if the call is thereby done with. */
bool standin_is_faulty (standin_t *standin, struct evhttp_request *in);

/* Takes the faults named in a control call's body. */
void standin_control (standin_t *standin, const json_t *body);

/* Value of "--NAME VALUE" on the command line, or `absent`. */
const char *standin_flag (int argc, char **argv, const char *name,
                          const char *default_value);

#endif
