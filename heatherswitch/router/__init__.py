"""The router program: forwards callers' HTTP requests to agents over gRPC."""
