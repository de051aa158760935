"""Limits on the bytes of an answer or a request that nobody can use; no side effects."""

from __future__ import annotations

__all__ = ["MAX_CONTROL_ANSWER_BYTES", "MAX_HEAD_BYTES", "AnswerMeter", "framing_limit"]

# The status line and headers of an answer, together with all informational heads (1xx) before it.
MAX_HEAD_BYTES = 65536
# The answer to a probe or a reservation call: some numbers and at most 64 tickets.
MAX_CONTROL_ANSWER_BYTES = 65536
# The body of an answer other than 2xx. It may quote the request, whose body is as long by default.
_MAX_FAILURE_BYTES = 4 << 20
# Heads, chunk sizes, chunk extensions and trailers may take twice the limit on heads, and this for
# each byte of the body. A chunk of one byte takes 5 bytes of framing.
_MAX_FRAMING_PER_BODY_BYTE = 16


def framing_limit(head_bytes: int, body_bytes: int) -> int:
    """Return how many bytes may frame a body, given the limit on heads."""
    return 2 * head_bytes + _MAX_FRAMING_PER_BODY_BYTE * body_bytes


class AnswerMeter:
    """Count the bytes of one answer, and tell which limit they exceed.

    ``max_body_bytes`` limits the body of any answer, None only that of a failure.
    """

    def __init__(self, max_body_bytes: int | None = None) -> None:
        self.received_bytes = 0
        self._body_bytes = 0
        self._head_complete = False
        self._max_body_bytes = max_body_bytes

    def received(self, count: int) -> None:
        """Count bytes that were read."""
        self.received_bytes += count

    def head_completed(self, status: int) -> None:
        """Note the status and headers, which informational heads may precede."""
        self._head_complete = True
        if self._max_body_bytes is None and not 200 <= status < 300:
            self._max_body_bytes = _MAX_FAILURE_BYTES

    def body_received(self, count: int) -> None:
        """Count bytes of the body, without their framing."""
        self._body_bytes += count

    def exceeded_limit(self) -> str | None:
        """Return which limit the bytes read so far exceed, or None."""
        if not self._head_complete:
            if self.received_bytes > MAX_HEAD_BYTES:
                return f"its heads exceed {MAX_HEAD_BYTES} bytes"
            return None
        if self._max_body_bytes is not None and self._body_bytes > self._max_body_bytes:
            return f"its body exceeds {self._max_body_bytes} bytes"
        limit = framing_limit(MAX_HEAD_BYTES, self._body_bytes)
        if self.received_bytes - self._body_bytes > limit:
            return f"its framing exceeds {limit} bytes, with a body of {self._body_bytes}"
        return None
