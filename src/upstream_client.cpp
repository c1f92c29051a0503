// Client of the upstream protocol on evhttp.
