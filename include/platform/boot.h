#pragma once

/** The settings file that the platform writes for each process. */

#include "common/findings.h"
#include "kernel/kernel.h"
#include "serve/core.h"

/** Times in microseconds. */
typedef struct
{
  char *name; /**< of this instance */
  char *zone;
  char *region;
  char *callers_address;   /**< where callers connect */
  char *ready_address;     /**< where the platform asks whether this instance is ready */
  char *directory_address; /**< where callers ask for addresses */
  char *link_address;      /**< datagrams of the other instances */
  char *metrics_address;
  char *store_address;
  guint strength;      /**< thousandths of a core that the process has */
  double link_rate;    /**< bytes a second of the machine's own link */
  guint store_reads;   /**< read calls a second that all instances together may make */
  guint max_files;     /**< descriptors that the process may open */
  guint answer_keep_s; /**< longest time for which callers keep an answer of the directory */
  SvBounds bounds;
} PlBoot;

/** Reads the file; NULL with all that is wrong in `findings`. */
PlBoot *pl_boot_load (const char *path, CmFindings *findings);

void pl_boot_free (PlBoot *boot);
