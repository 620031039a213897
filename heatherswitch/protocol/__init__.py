"""gRPC services and messages between the processes of heatherswitch."""
