// Adapter of the object API over HTTP.
