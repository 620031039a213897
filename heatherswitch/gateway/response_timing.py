"""Times of one attempt's response."""

from heatherswitch.util.record import Record


class ResponseTiming(Record):
    """Times of the current attempt's response, in seconds since its send.

    :param head_s: the head arrived; None before that.
    :param first_event_s: the first complete event of a stream arrived, or None.
    :param last_event_s: the latest complete event arrived, or None.
    :param events: number of complete events.
    :param event_interval_s: mean interval between the first events, once known.
    """

    __slots__ = (
        "head_s",
        "first_event_s",
        "last_event_s",
        "events",
        "event_interval_s",
    )

    def __init__(
        self,
        head_s: float | None = None,
        first_event_s: float | None = None,
        last_event_s: float | None = None,
        events: int = 0,
        event_interval_s: float | None = None,
    ) -> None:
        self.head_s = head_s
        self.first_event_s = first_event_s
        self.last_event_s = last_event_s
        self.events = events
        self.event_interval_s = event_interval_s
