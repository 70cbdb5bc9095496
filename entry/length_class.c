#include "entry/length_class.h"

typedef struct
{
  const char *name;
  guint64 limit;
} ClassRow;

static const ClassRow rows[EN_LENGTH_CLASSES] = {
  [EN_LENGTH_4K] = { "4k", 4000 },
  [EN_LENGTH_16K] = { "16k", 16000 },
  [EN_LENGTH_100K] = { "100k", 100000 },
  [EN_LENGTH_1M] = { "1m", G_MAXUINT64 },
};

guint64
en_tokens_of_bytes (gsize bytes)
{
  return (bytes + EN_TOKEN_BYTES - 1) / EN_TOKEN_BYTES;
}

EnLengthClass
en_length_class (guint64 tokens)
{
  EnLengthClass length_class = EN_LENGTH_4K;

  while (tokens > rows[length_class].limit)
    length_class++;
  return length_class;
}

const char *
en_length_class_name (EnLengthClass length_class)
{
  return rows[length_class].name;
}
