// Freshness of the configuration; see freshness_p.h.
#include "freshness_p.h"
