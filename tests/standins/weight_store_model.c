#include "tests/standins/weight_store_model.h"

KnlTime
sd_weight_store_enqueue (SdWeightStore *store, KnlTime now, double bytes)
{
  store->free_at =
      MAX (store->free_at, now) + (KnlTime)(bytes / MAX (store->rate, 1) * (double)KNL_SEC);
  return store->free_at - now;
}
