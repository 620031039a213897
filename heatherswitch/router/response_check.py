"""Verifies that the events of an attempt form the complete response to its request."""

import xxhash

from heatherswitch.protocol import heatherswitch_pb2 as pb


class InvalidResponse(Exception):
    """The events do not form a complete, unchanged response to the request.

    :param code: machine-readable error code.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code


class ResponseVerifier:
    """Verifies request id, event order, offsets, length and checksum of a response.

    One instance serves one attempt, including its resumptions.
    """

    __slots__ = ("_accepted", "_checksum", "_head_received", "_offset", "_request_id")

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self._accepted = False
        self._head_received = False
        self._offset = 0
        self._checksum = xxhash.xxh3_64()

    @property
    def offset(self) -> int:
        """Number of body bytes received so far."""
        return self._offset

    def begin_resumed_stream(self) -> None:
        """Prepares for a resumed stream.

        The agent may refuse it, although it accepted the original request.
        """
        self._accepted = False

    def verify(self, event: pb.ExecuteEvent) -> str:
        """Verifies the next event and returns the name of its ``oneof`` field.

        :raises InvalidResponse: if the event belongs to another request, is out of
            order, or shows that bytes are missing, repeated or changed.
        """
        if event.request_id != self._request_id:
            raise InvalidResponse("crossed_answer", "an event names another request")
        kind = event.WhichOneof("event")
        if kind is None:
            raise InvalidResponse("protocol_error", "an event of unknown kind arrived")
        getattr(self, f"_take_{kind}", _ignore)(event)
        return kind

    def _take_accepted(self, event: pb.ExecuteEvent) -> None:
        self._accepted = True

    def _take_refused(self, event: pb.ExecuteEvent) -> None:
        if self._accepted:
            raise InvalidResponse("protocol_error", "refused after it was accepted")

    def _take_head(self, event: pb.ExecuteEvent) -> None:
        # A resumed stream repeats the response head, so a second one is valid.
        if not 200 <= event.head.status <= 599:
            raise InvalidResponse("protocol_error", "the status is not a final one")
        self._head_received = True

    def _take_chunk(self, event: pb.ExecuteEvent) -> None:
        if not self._head_received:
            raise InvalidResponse("protocol_error", "a chunk arrived before the head")
        if event.chunk.offset != self._offset:
            raise InvalidResponse(
                "offset_mismatch",
                f"a chunk at {event.chunk.offset} arrived, expected {self._offset}",
            )
        self._offset += len(event.chunk.data)
        self._checksum.update(event.chunk.data)

    def _take_done(self, event: pb.ExecuteEvent) -> None:
        if not self._head_received:
            raise InvalidResponse("protocol_error", "the answer ended before the head")
        if event.done.length != self._offset:
            raise InvalidResponse(
                "length_mismatch",
                f"{self._offset} bytes arrived of {event.done.length}",
            )
        if event.done.checksum != self._checksum.intdigest():
            raise InvalidResponse("checksum_mismatch", "the body's checksum is wrong")


def _ignore(event: pb.ExecuteEvent) -> None:
    """Accepts an event that has nothing to verify."""
