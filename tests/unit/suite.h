#pragma once

/**
 * Framework of the unit tests: each test file has a table of cases, run by CUnit.
 * Each file is a program of its own, so that a crash can be attributed to its file.
 */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <glib.h>

typedef struct
{
  const char *name;
  void (*run) (void);
} SuiteCase;

/** Runs the cases as one CUnit suite. Returns the process's exit status: 0 if all passed, 1 if not,
 * 2 if CUnit can't start. */
int suite_run (const char *name, const SuiteCase *cases, unsigned int count);

/**
 * A loopback IP address that no other test process uses at the same time; free with g_free().
 * Instances with a common one would hear the datagrams of another test's instances. Gateways serve
 * their metrics at a fixed port of their IP address: with a common one, a gateway of a second run
 * of the tests at the same time would not start.
 */
char *suite_loopback_ip (guint index);

#define SUITE_MAIN(name, cases)                                                                    \
  int main (void)                                                                                  \
  {                                                                                                \
    return suite_run ((name), (cases), sizeof (cases) / sizeof ((cases)[0]));                      \
  }
