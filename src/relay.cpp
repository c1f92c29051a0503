// Relay tree: position and exchange state of one host.
