// Settings parser, key table and overlay merge; see settings_p.h.
#include "settings_p.h"
