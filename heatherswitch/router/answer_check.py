"""Checks that the events of an attempt form the whole answer to its request."""

import xxhash

from heatherswitch.protocol import heatherswitch_pb2 as pb


class BrokenAnswer(Exception):
    """The events are not the whole answer to the request.

    :param code: short machine-readable cause.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code


class AnswerCheck:
    """Identity, order, offsets, length and checksum of one attempt's answer."""

    __slots__ = ("_accepted", "_checksum", "_head", "_offset", "_request_id")

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self._accepted = False
        self._head = False
        self._offset = 0
        self._checksum = xxhash.xxh3_64()

    @property
    def offset(self) -> int:
        """Body bytes received so far."""
        return self._offset

    def resumed(self) -> None:
        """Notes a new stream, which may be refused although the first was not."""
        self._accepted = False

    def take(self, event: pb.ExecuteEvent) -> str:
        """Checks one event and returns its kind.

        :raises BrokenAnswer: if the event belongs to another request, is out of
            order, or shows that bytes are missing, repeated or changed.
        """
        if event.request_id != self._request_id:
            raise BrokenAnswer("crossed_answer", "an event names another request")
        kind = event.WhichOneof("event")
        if kind is None:
            raise BrokenAnswer("protocol_error", "an event of unknown kind arrived")
        getattr(self, f"_take_{kind}", _ignore)(event)
        return kind

    def _take_accepted(self, event: pb.ExecuteEvent) -> None:
        self._accepted = True

    def _take_refused(self, event: pb.ExecuteEvent) -> None:
        if self._accepted:
            raise BrokenAnswer("protocol_error", "refused after it was accepted")

    def _take_head(self, event: pb.ExecuteEvent) -> None:
        # A resumed answer repeats the head.
        if not 200 <= event.head.status <= 599:
            raise BrokenAnswer("protocol_error", "the status is not a final one")
        self._head = True

    def _take_chunk(self, event: pb.ExecuteEvent) -> None:
        if not self._head:
            raise BrokenAnswer("protocol_error", "a chunk arrived before the head")
        if event.chunk.offset != self._offset:
            raise BrokenAnswer(
                "offset_mismatch",
                f"a chunk at {event.chunk.offset} arrived, expected {self._offset}",
            )
        self._offset += len(event.chunk.data)
        self._checksum.update(event.chunk.data)

    def _take_done(self, event: pb.ExecuteEvent) -> None:
        if not self._head:
            raise BrokenAnswer("protocol_error", "the answer ended before the head")
        if event.done.length != self._offset:
            raise BrokenAnswer(
                "length_mismatch",
                f"{self._offset} bytes arrived of {event.done.length}",
            )
        if event.done.checksum != self._checksum.intdigest():
            raise BrokenAnswer("checksum_mismatch", "the body's checksum is wrong")


def _ignore(event: pb.ExecuteEvent) -> None:
    """Takes an event that carries nothing to check."""
