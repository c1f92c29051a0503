// gRPC server of the peer protocol.
