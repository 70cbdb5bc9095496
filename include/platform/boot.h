#pragma once

/** The settings file that the platform writes for each instance's process. */

#include "common/findings.h"
#include "kernel/kernel.h"
#include "serve/core.h"

/** Times are in microseconds, unless a field's name has another unit. */
typedef struct
{
  char *name; /**< of this instance */
  char *zone;
  char *region;
  char *callers_address;   /**< where callers connect */
  char *ready_address;     /**< where the platform sends readiness checks */
  char *directory_address; /**< where callers look up the instances' addresses */
  char *link_address;      /**< where datagrams of other instances are received */
  char *passing_address;   /**< where peers pass requests on to this instance; NULL: nowhere */
  char *metrics_address;
  char *store_address;
  guint16 passing_port;    /**< of `passing_address`; 0: none */
  guint strength;          /**< CPU time available to the process, in thousandths of a core */
  double link_rate;        /**< bytes a second of the machine's network link */
  guint store_reads;       /**< store reads a second that all instances together may make */
  gsize memory;            /**< bytes of memory available to the process; 0: not stated */
  guint max_files;         /**< file descriptors that the process may open */
  gboolean is_first_start; /**< no instance of the system has run before */
  guint directory_ttl_s;   /**< seconds for which callers may cache an answer of the directory */
  SvBounds bounds;
} PlBoot;

/** Reads the file at `path`. On errors returns NULL and adds every error found to `findings`. */
PlBoot *pl_boot_load (const char *path, CmFindings *findings);

void pl_boot_free (PlBoot *boot);
