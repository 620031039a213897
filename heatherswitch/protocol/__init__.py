"""gRPC messages between the processes of heatherswitch."""
