"""Tests of dividing received data into steps for a parser."""

import random
import unittest

from heatherswitch.util.received_data import STEP_BYTES, STEP_LINES, ReceivedData

# Largest read of asyncio.
READ_BYTES = 256 * 1024


def take_all(*reads: bytes) -> list[bytes]:
    """Returns the pieces into which the reads are divided."""
    received = ReceivedData()
    for data in reads:
        received.append(data)
    pieces = []
    while received:
        pieces.append(received.take())
    return pieces


class ReceivedDataTest(unittest.TestCase):
    def test_long_pieces_have_few_line_ends(self):
        """Else one step parses thousands of headers or events."""
        for line in (b"\n", b"\r", b"\r\n", b"a:b\r\n", b"x" * 60 + b"\n"):
            data = line * (READ_BYTES // len(line))
            pieces = take_all(data)
            self.assertEqual(b"".join(pieces), data)
            for piece in pieces:
                line_ends = max(piece.count(b"\n"), piece.count(b"\r"))
                if len(piece) > STEP_BYTES:
                    self.assertLessEqual(line_ends, STEP_LINES)

    def test_dense_lines_after_a_long_body_are_divided(self):
        data = b"x" * (READ_BYTES // 2) + b"\n" * (READ_BYTES // 2)
        for piece in take_all(data)[1:]:
            self.assertLessEqual(len(piece), STEP_BYTES)

    def test_body_without_lines_is_one_piece(self):
        """Else a large answer costs a write and a system call for each 8 KiB."""
        data = b"x" * READ_BYTES
        self.assertEqual(take_all(data), [data])

    def test_nothing_is_lost_or_reordered(self):
        generator = random.Random(1)
        for _ in range(200):
            reads = [
                bytes(generator.choices(b"\r\nab", k=generator.randrange(1, 40_000)))
                for _ in range(3)
            ]
            self.assertEqual(b"".join(take_all(*reads)), b"".join(reads))

    def test_end_of_the_data_comes_last(self):
        received = ReceivedData()
        received.append(b"a" * 2 * STEP_BYTES)
        self.assertFalse(received.ended)
        received.append(b"")
        self.assertTrue(received.ended)
        received.take()
        self.assertTrue(received.ended)
        self.assertEqual(received.take(), b"")
        self.assertFalse(received)


if __name__ == "__main__":
    unittest.main()
