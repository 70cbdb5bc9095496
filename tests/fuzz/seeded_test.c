/**
 * Runs each decoder on a reproducible sequence of mutated examples; the sanitizers detect faults.
 * Usage: seeded_test [SEED [RUNS]].
 */

#include <stdlib.h>
#include <string.h>

#include "targets.h"

#define SEED 20261203
#define RUNS 4000

/* Maximum number of mutations of one example. */
#define MAX_MUTATIONS 6

/* Inserted values: limits of number conversions and structural characters. */
static const char *const tokens[] = {
  "-1", "0", "1e300", "9223372036854775807", "null", "\"\"", "[]", "{}", "\xff", "\r\n", ":", "0x1",
};

static void
mutate (GString *text, GRand *rand)
{
  gsize at = text->len > 0 ? (gsize)g_rand_int_range (rand, 0, (gint32)text->len) : 0;
  gsize wanted = (gsize)g_rand_int_range (rand, 1, 9);
  gsize length = MIN (wanted, text->len - at);
  const char *token = tokens[g_rand_int_range (rand, 0, G_N_ELEMENTS (tokens))];

  switch (g_rand_int_range (rand, 0, 5))
    {
    case 0:
      if (text->len > 0)
        text->str[at] = (char)g_rand_int_range (rand, 0, 256);
      return;
    case 1:
      g_string_erase (text, (gssize)at, (gssize)length);
      return;
    case 2:
      g_string_insert (text, (gssize)at, token);
      return;
    case 3:
      g_string_erase (text, (gssize)at, (gssize)length);
      g_string_insert (text, (gssize)at, token);
      return;
    default:
      {
        g_autofree char *copy = g_memdup2 (text->str + at, length);

        g_string_insert_len (text, (gssize)at, copy, (gssize)length);
      }
    }
}

static guint
run_target (const FuzzTarget *target, GRand *rand, guint runs)
{
  guint n_examples = 0;

  while (target->examples[n_examples] != NULL)
    n_examples++;
  g_return_val_if_fail (n_examples > 0, 0);
  for (guint i = 0; i < runs; i++)
    {
      const char *example = target->examples[i % n_examples];
      g_autoptr (GString) text = g_string_new (example);
      gint mutations = g_rand_int_range (rand, 0, MAX_MUTATIONS + 1);

      for (gint j = 0; j < mutations; j++)
        mutate (text, rand);
      target->run ((const guint8 *)text->str, text->len);
    }
  return runs;
}

int
main (int argc, char **argv)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (argc > 1 ? (guint32)atoi (argv[1]) : SEED);
  guint runs = argc > 2 ? (guint)atoi (argv[2]) : RUNS;

  fuzz_setup ();
  for (guint i = 0; i < fuzz_n_targets; i++)
    g_print ("%s: %u runs\n", fuzz_targets[i].name, run_target (&fuzz_targets[i], rand, runs));
  return EXIT_SUCCESS;
}
