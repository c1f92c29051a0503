// Structured event log through log4cxx.
