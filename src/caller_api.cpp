// Callers' HTTP API on libevhtp.
