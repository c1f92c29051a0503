// Metrics of a process in the Prometheus text format.
