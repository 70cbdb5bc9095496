#pragma once

/**
 * The load that callers offer to services, in engine time, by class and workspace: counted here
 * over one second, and as reported by the peers of this cell and the relays of other cells.
 *
 * Reports are totals of one second with their age. A later report of a source replaces its earlier
 * one, so lost and repeated reports do no harm; one that is older than two seconds is dropped.
 */

#include "kernel/kernel.h"
#include "policy/admission.h"

typedef struct SvOffered SvOffered;

/** Length of a request's prefill. */
typedef enum
{
  SV_PREFILL_SHORT, /**< not split */
  SV_PREFILL_MEDIUM,
  SV_PREFILL_LONG,
  SV_N_PREFILL_LENGTHS,
} SvPrefillLength;

/** Priorities that are told apart; less urgent ones count as the last. */
#define SV_OFFERED_PRIORITIES 5

#define SV_OFFERED_CLASSES (SV_OFFERED_PRIORITIES * SV_N_PREFILL_LENGTHS)

typedef struct
{
  guint priority; /**< 0: most urgent */
  SvPrefillLength length;
} SvOfferedClass;

/** Index of the class in the order of admission, below SV_OFFERED_CLASSES. */
guint sv_offered_class_index (const SvOfferedClass *class);

/** Name of the class for log lines; free with g_free. */
char *sv_offered_class_name (guint index);

/** Id of a workspace in reports, never 0; NULL: requests without a workspace. */
guint32 sv_offered_workspace_id (const char *workspace);

/** Id of a service in reports. */
guint32 sv_offered_service_id (const char *service);

/** Rows that name a workspace in a report of an instance, and in that of a cell. */
#define SV_OFFERED_OWN_ROWS  12
#define SV_OFFERED_CELL_ROWS 24

/** Maximum number of rows of a report: the above, and one for the other workspaces of each class.
 */
#define SV_OFFERED_MAX_ROWS (SV_OFFERED_CELL_ROWS + SV_OFFERED_CLASSES)

/** What a source offers to a service. */
typedef struct
{
  guint32 service;
  KnlTime age; /**< since the end of the second that was counted */
  guint n_rows;
  PolOfferedRow rows[SV_OFFERED_MAX_ROWS];
} SvOfferedReport;

/** Who sent a report. */
typedef struct
{
  guint32 id; /**< of the peer or cell */
  gboolean is_cell;
  guint instances; /**< that the report covers */
} SvOfferedSource;

/** What all instances offer to a service. */
typedef struct
{
  GArray *rows; /**< PolOfferedRow; owned by the caller */
  guint heard;  /**< instances that are covered, this one included */
  KnlTime age;  /**< of the oldest report in it */
} SvOfferedTotals;

SvOffered *sv_offered_new (KnlKernel *kernel);
void sv_offered_free (SvOffered *offered);

/** Counts a request of a caller of this instance; `cost`: its engine time, us. */
void sv_offered_note_request (SvOffered *offered,
                              guint32 service,
                              guint class,
                              guint32 workspace,
                              guint64 cost);

/** The report of this instance. */
void sv_offered_report_own (SvOffered *offered, guint32 service, SvOfferedReport *report);

/** The report of this cell: this instance and the peers that it has heard from, scaled to the
 * cell's `instances`. */
void sv_offered_report_cell (SvOffered *offered,
                             guint32 service,
                             guint instances,
                             SvOfferedReport *report);

/** Handles a received report. Ignored if it is older than the last one of the same source. */
void sv_offered_note_report (SvOffered *offered,
                             const SvOfferedSource *source,
                             const SvOfferedReport *report);

/** Returns what all `known` instances offer to the service: where not all of them have been heard,
 * those that have stand for the others. Free with sv_offered_totals_clear(). */
SvOfferedTotals sv_offered_totals (SvOffered *offered, guint32 service, guint known);
void sv_offered_totals_clear (SvOfferedTotals *totals);

/** The service is saturated now: reports are exchanged for some seconds. */
void sv_offered_note_saturated (SvOffered *offered, guint32 service);

/** Called when a service becomes saturated whose load isn't reported yet. */
typedef void (*SvOfferedFunc) (gpointer data);

/** Sets the callback; NULL: none. */
void sv_offered_on_saturated (SvOffered *offered, SvOfferedFunc func, gpointer data);

/** Ids (guint32) of the services whose load is to be reported now. Free with g_array_unref. */
GArray *sv_offered_reported_services (const SvOffered *offered);
