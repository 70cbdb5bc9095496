#pragma once

/** Converts between the platform's JSON and the core's types for endpoints, members and the
 * directory. For configurations see platform/config_decoder.h. */

#include <jansson.h>

#include "serve/config.h"
#include "serve/fleet.h"
#include "serve/peers.h"

/** Row with the operator's newest configuration. */
#define PL_CONFIG_TABLE "op"
#define PL_CONFIG_KEY   "config"

/** Longest name of an evacuated zone, in bytes. */
#define PL_MAX_ZONE_BYTES 200

/** Returns whether a row of PL_CONFIG_TABLE with this key evacuates a zone. `*zone` is then the
 * zone's name, within `key`; NULL if it is empty or too long. */
gboolean pl_decode_evacuation (const char *key, const char **zone);

/** Table in which endpoints register, each under its id. */
#define PL_ENDPOINT_TABLE "servers"

/** Table with a row for each cell, under the name of its availability zone: some of its instances,
 * through which those that start find the others. */
#define PL_CELL_TABLE "cells"

/** Table in which each instance of earlier releases has a row under its name. */
#define PL_MEMBER_TABLE "instances"

/** Returns FALSE if `value` isn't a valid endpoint entry. The entry's strings are borrowed from
 * `id` and `value`; `revision` is left 0. */
gboolean pl_decode_endpoint (const char *id, json_t *value, SvEndpointEntry *entry);

/** Value of a cell's row. */
json_t *pl_encode_contacts (const SvMember *members, guint n);

/** Reads at most `max` members of a cell's row, those without a name, address or zone left out.
 * Returns their number; the strings are borrowed from `value`. */
guint pl_decode_contacts (json_t *value, SvMember *members, guint max);

/** Adds quarantined segments to a cell's row; `since` is on the store's clock, 0: not known. */
void pl_encode_quarantined (json_t *row, const SvQuarantined *quarantined, guint n);

/** Reads at most `max` quarantined segments of a cell's row; those without all fields are left out.
 * Returns their number; `since` is on the store's clock, 0: not given; the losses' times are 0. */
guint pl_decode_quarantined (json_t *row, SvQuarantined *quarantined, guint max);

/** Adds a watermark to a cell's row: the store's era, and the version of the configuration in use.
 * Version 0: there is none. */
void pl_encode_watermark (json_t *row, SvPosition watermark);

/** Returns FALSE, and leaves `watermark` as it is, if the row has none. */
gboolean pl_decode_watermark (json_t *row, SvPosition *watermark);

/** Copies the watermark of another row, if that has one; NULL: there is none. */
void pl_copy_watermark (json_t *row, json_t *from);

/** Adds evacuations to a row's watermark, if it has one; `until` is on the store's clock. */
void pl_encode_watermark_evacuations (json_t *row, const SvEvacuation *evacuations, guint n);

/** Reads at most `max` evacuations of a row's watermark; those without all fields are left out.
 * Returns their number; the names are borrowed from `row`, `until` is on the store's clock. */
guint pl_decode_watermark_evacuations (json_t *row, SvEvacuation *evacuations, guint max);

/** Row with the tests of quarantines that all instances have made. */
#define PL_TEST_TABLE "quarantine-tests"
#define PL_TEST_KEY   "counts"

/** Tests of a quarantined segment or request. */
typedef struct
{
  guint32 service; /**< as in SvQuarantined */
  guint64 segment;
  guint tests;
  gint64 first_ms; /**< when the first was counted, on the store's clock */
} PlTestCount;

/** Value of that row. */
json_t *pl_encode_tests (const PlTestCount *counts, guint n);

/** Reads at most `max` counts; those without all fields are left out. Returns their number. */
guint pl_decode_tests (json_t *row, PlTestCount *counts, guint max);

/** Reads the row of an instance of an earlier release: its datagram address, zone, incarnation and
 * strength. Returns FALSE if the address or the zone is missing. The strings are borrowed from
 * `value`. */
gboolean pl_decode_member (json_t *value, SvMember *member);

/** Body of an answer of the directory, which callers may cache for `ttl_s` seconds. Free with
 * free(). */
char *pl_encode_directory (const GPtrArray *addresses, guint ttl_s);
