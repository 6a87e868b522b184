/* Tests of intents, effects of plans, the prefix index and token buffers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "core/config.h"
#include "core/prefix.h"
#include "core/tokens.h"

#include <string.h>

#define INTENT(version, share)                                                 \
  "{\"team\":\"t\",\"models\":[{\"name\":\"m\",\"version\":\"" version "\","   \
  "\"replicas\":{\"z\":1}}],\"workspaces\":[{\"name\":\"w\",\"share\":" share  \
  "}],\"classes\":[{\"name\":\"c\",\"runs_on\":\"m\",\"priority\":1,"          \
  "\"first_token_ms\":1,\"deadline_ms\":1}]}"

static void
test_every_bad_field_is_named (void **state)
{
  static const char text[]
      = "{\"team\":\"\",\"models\":[{\"name\":\"m\",\"replicas\":{\"z\":-1}}],"
        "\"workspaces\":[{\"name\":\"w\",\"share\":0},{\"name\":\"w\","
        "\"share\":1}],\"classes\":[{\"name\":\"c\",\"runs_on\":\"none\","
        "\"priority\":10}],\"colour\":1}";
  char team[CA_NAME_BYTES];
  ca_error_t error;

  (void)state;
  ca_error_init (&error);
  assert_false (ca_config_check_intent (text, team, &error));
  assert_int_equal (error.kind, CA_ERROR_BAD_INTENT);
  assert_non_null (strstr (error.message, "intent.colour"));
  assert_non_null (strstr (error.message, "intent.team"));
  assert_non_null (strstr (error.message, "models[0].version"));
  assert_non_null (strstr (error.message, "models[0].replicas.z"));
  assert_non_null (strstr (error.message, "workspaces[0].share"));
  assert_non_null (strstr (error.message, "workspaces[1].name"));
  assert_non_null (strstr (error.message, "classes[0].runs_on"));
  assert_non_null (strstr (error.message, "classes[0].priority"));
  assert_non_null (strstr (error.message, "classes[0].deadline_ms"));
}

static void
test_malformed_intents (void **state)
{
  static const char *const invalid[] = { "",
                                         "[]",
                                         "{",
                                         "{\"team\":1}",
                                         "nul",
                                         "{\"team\":\"t\",\"team\":"
                                         "\"u\"}" };

  (void)state;
  for (size_t i = 0; i < sizeof invalid / sizeof invalid[0]; i++)
    {
      char team[CA_NAME_BYTES];
      ca_error_t error;

      ca_error_init (&error);
      assert_false (ca_config_check_intent (invalid[i], team, &error));
      assert_int_equal (error.kind, CA_ERROR_BAD_INTENT);
    }
}

static void
test_older_revision_is_rejected (void **state)
{
  ca_config_t config;
  ca_error_t error;

  (void)state;
  ca_error_init (&error);
  ca_config_init (&config);
  assert_true (
      ca_config_put_intent (&config, "t", 5, INTENT ("v5", "5"), &error));
  assert_false (
      ca_config_put_intent (&config, "t", 4, INTENT ("v4", "4"), &error));
  assert_string_equal (ca_config_find_pool (&config, "m")->version, "v5");
  ca_config_finish (&config);
}

static void
test_effects_name_each_change (void **state)
{
  ca_config_t config;
  ca_error_t error;
  json_t *conflicts;
  json_t *effects;

  (void)state;
  ca_error_init (&error);
  ca_config_init (&config);
  ca_config_put_intent (&config, "t", 1, INTENT ("v1", "5"), &error);
  effects = ca_config_effects (&config, INTENT ("v2", "6"), &conflicts);
  assert_int_equal (json_array_size (effects), 2);
  assert_string_equal (json_string_value (json_array_get (effects, 0)),
                       "change models m: version from \"v1\" to \"v2\"");
  assert_int_equal (json_array_size (conflicts), 0);
  json_decref (effects);
  json_decref (conflicts);
  ca_config_finish (&config);
}

static void
test_names_of_other_team_conflict (void **state)
{
  ca_config_t config;
  ca_error_t error;
  json_t *conflicts;
  json_t *effects;

  (void)state;
  ca_error_init (&error);
  ca_config_init (&config);
  ca_config_put_intent (&config, "other", 1, INTENT ("v1", "5"), &error);
  effects = ca_config_effects (&config, INTENT ("v1", "5"), &conflicts);
  assert_int_equal (json_array_size (conflicts), 2);
  json_decref (effects);
  json_decref (conflicts);
  ca_config_finish (&config);
}

static void
test_prefix_hashes_cover_earlier_blocks (void **state)
{
  char one[CA_PREFIX_BLOCK_BYTES * 3];
  char two[CA_PREFIX_BLOCK_BYTES * 3];
  uint64_t a[CA_PREFIX_MAX_BLOCKS];
  uint64_t b[CA_PREFIX_MAX_BLOCKS];

  (void)state;
  memset (one, 'x', sizeof one);
  memset (two, 'x', sizeof two);
  two[CA_PREFIX_BLOCK_BYTES] = 'y';
  assert_int_equal (ca_prefix_hash (one, sizeof one, a), 3);
  assert_int_equal (ca_prefix_hash (two, sizeof two, b), 3);
  assert_int_equal (a[0], b[0]);
  assert_true (a[1] != b[1]);
  assert_true (a[2] != b[2]);
}

static void
test_prefix_index_evicts_from_the_tail (void **state)
{
  ca_prefix_index_t index;
  uint64_t old_prompt[4] = { 1, 2, 3, 4 };
  uint64_t new_prompt[4] = { 11, 12, 13, 14 };

  (void)state;
  ca_prefix_index_init (&index);
  ca_prefix_index_resize (&index, 6);
  ca_prefix_index_add (&index, old_prompt, 4);
  ca_prefix_index_add (&index, new_prompt, 4);
  assert_int_equal (ca_prefix_index_match (&index, new_prompt, 4), 4);
  assert_int_equal (ca_prefix_index_match (&index, old_prompt, 4), 2);
  ca_prefix_index_remove (&index, 12);
  assert_int_equal (ca_prefix_index_match (&index, new_prompt, 4), 1);
  ca_prefix_index_finish (&index);
}

static void
test_tokens_add_and_get (void **state)
{
  ca_tokens_t tokens;
  size_t bytes;

  (void)state;
  ca_tokens_init (&tokens);
  for (int i = 0; i < 1000; i++)
    ca_tokens_add (&tokens, "abc", (size_t)(i % 4));
  assert_int_equal (tokens.count, 1000);
  assert_int_equal (ca_tokens_bytes (&tokens), 1500);
  assert_memory_equal (ca_tokens_get (&tokens, 999, &bytes), "abc", 3);
  assert_int_equal (bytes, 3);
  ca_tokens_finish (&tokens);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_every_bad_field_is_named),
    cmocka_unit_test (test_malformed_intents),
    cmocka_unit_test (test_older_revision_is_rejected),
    cmocka_unit_test (test_effects_name_each_change),
    cmocka_unit_test (test_names_of_other_team_conflict),
    cmocka_unit_test (test_prefix_hashes_cover_earlier_blocks),
    cmocka_unit_test (test_prefix_index_evicts_from_the_tail),
    cmocka_unit_test (test_tokens_add_and_get),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
