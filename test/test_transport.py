import tempfile
import unittest
from pathlib import Path

import grpc
import trustme

from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.protocol import heatherswitch_pb2_grpc as pb_grpc
from heatherswitch.util.transport import (
    TLS_NAME,
    Transport,
    TransportConfig,
    TransportError,
)


class Peer(pb_grpc.PeerServicer):
    async def Exchange(self, request, context):  # noqa: N802 (name from the protocol)
        return pb.ExchangeReply(ready=True)


class Agent(pb_grpc.AgentServicer):
    async def Execute(self, request, context):  # noqa: N802 (name from the protocol)
        yield pb.ExecuteEvent(request_id=request.request_id)


class TransportTest(unittest.IsolatedAsyncioTestCase):
    async def serve(self, transport):
        server = transport.server(())
        pb_grpc.add_PeerServicer_to_server(Peer(), server)
        pb_grpc.add_AgentServicer_to_server(Agent(), server)
        port = transport.bind(server, "127.0.0.1:0")
        await server.start()
        self.addAsyncCleanup(server.stop, 0)
        return f"127.0.0.1:{port}"

    async def call(self, transport, address):
        """Runs a unary and a streaming call.

        Returns the request ids of the stream, or the status code of the first error.
        """
        try:
            async with transport.channel(address, ()) as channel:
                options = {"metadata": transport.metadata, "timeout": 5}
                stub = pb_grpc.PeerStub(channel)
                await stub.Exchange(pb.ExchangeRequest(), **options)
                stream = pb_grpc.AgentStub(channel).Execute(
                    pb.ExecuteRequest(request_id="r1"), **options
                )
                return [event.request_id async for event in stream]
        except grpc.aio.AioRpcError as error:
            return error.code()

    async def test_call_without_the_token_is_refused(self):
        # Guards against a process without the token that joins the fleet, sends requests
        # to an agent or changes the configuration.
        address = await self.serve(Transport("secret"))
        for token in ("", "wrong"):
            code = await self.call(Transport(token), address)
            self.assertIs(code, grpc.StatusCode.UNAUTHENTICATED)
        async with grpc.aio.insecure_channel(address) as channel:
            stream = pb_grpc.AgentStub(channel).Execute(pb.ExecuteRequest())
            with self.assertRaises(grpc.aio.AioRpcError):
                await stream.read()
        self.assertEqual(await self.call(Transport("secret"), address), ["r1"])

    def transport(self, authority, trusted=None):
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        certificate = authority.issue_cert(TLS_NAME)
        certificate.private_key_pem.write_to_path(directory / "key")
        for blob in certificate.cert_chain_pems:
            blob.write_to_path(directory / "chain", append=True)
        (trusted or authority).cert_pem.write_to_path(directory / "authority")
        paths = [str(directory / name) for name in ("chain", "key", "authority")]
        return Transport.from_config(TransportConfig("secret", *paths))

    async def test_tls_accepts_only_certificates_of_the_fleet(self):
        # Guards against a peer that has the token but no certificate from the authority
        # of the fleet.
        fleet, other = trustme.CA(), trustme.CA()
        address = await self.serve(self.transport(fleet))
        self.assertEqual(await self.call(self.transport(fleet), address), ["r1"])
        for outsider in (Transport("secret"), self.transport(other, trusted=fleet)):
            code = await self.call(outsider, address)
            self.assertIs(code, grpc.StatusCode.UNAVAILABLE)

    def test_incomplete_tls_files_are_refused(self):
        # Guards against a fleet that runs without TLS because a flag was forgotten.
        for config in (
            TransportConfig("", "chain"),
            TransportConfig("", "/no/chain", "/no/key", "/no/authority"),
        ):
            with self.assertRaises(TransportError):
                Transport.from_config(config)
