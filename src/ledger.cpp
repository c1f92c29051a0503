// Request ledger; see ledger_p.h.
#include "ledger_p.h"
