// gRPC clients of the peer protocol.
