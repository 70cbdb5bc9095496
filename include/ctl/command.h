#pragma once

/**
 * Commands. Each has a file in ctl/commands/ and an entry in the sorted table of
 * ctl/command.c. Parsing checks all arguments; its only I/O is reading the files
 * given as arguments. Running sends requests to controllers and entries and
 * returns a result. Neither prints.
 */

#include "ctl/parser.h"
#include "ctl/session.h"

typedef struct ClCommand ClCommand;

typedef struct
{
  const char *name;
  const char *usage;
  const char *help; /**< a few lines of text, printed by `help` */
  /** Parses the arguments after the command's name. Returns NULL after findings that prevent it
   * from running. */
  ClCommand *(*parse) (ClParser *parser);
  ClResult *(*run) (ClCommand *command, ClSession *session);
  /** Adds findings that only a controller can determine, such as references to objects that don't
   * exist. Called when the commands have findings already; may be NULL. */
  void (*review) (ClCommand *command, ClSession *session, CmFindings *findings);
  void (*destroy) (ClCommand *command);
} ClCommandClass;

/** First member of every command. */
struct ClCommand
{
  const ClCommandClass *klass;
};

extern const ClCommandClass cl_command_apply;
extern const ClCommandClass cl_command_drain;
extern const ClCommandClass cl_command_help;
extern const ClCommandClass cl_command_remove;
extern const ClCommandClass cl_command_set;
extern const ClCommandClass cl_command_show;
extern const ClCommandClass cl_command_undrain;
extern const ClCommandClass cl_command_wait;
extern const ClCommandClass cl_command_why;

/** All commands, sorted by name, NULL-terminated. */
const ClCommandClass *const *cl_commands (void);

const ClCommandClass *cl_command_find (const char *name);

/** Parses commands separated by ";" or line ends; returns an array of ClCommand. */
GPtrArray *cl_commands_parse (const char *text,
                              const char *source,
                              const ClLoader *loader,
                              CmFindings *findings);
