// Client of the host list and the rating service.
