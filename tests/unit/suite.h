#pragma once

/**
 * Framework of the unit tests: each test file has a table of cases, run by CUnit.
 * Each file is a program of its own, so that a crash can be attributed to its file.
 */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>

typedef struct
{
  const char *name;
  void (*run) (void);
} SuiteCase;

/** Runs the cases as one CUnit suite. Returns the process's exit status: 0 if all passed, 1 if not,
 * 2 if CUnit can't start. */
int suite_run (const char *name, const SuiteCase *cases, unsigned int count);

#define SUITE_MAIN(name, cases)                                                                    \
  int main (void)                                                                                  \
  {                                                                                                \
    return suite_run ((name), (cases), sizeof (cases) / sizeof ((cases)[0]));                      \
  }
