"""Buffer the bodies of one request's responses."""

from __future__ import annotations

from bronzeline_kernel.forwarding import Address, ResponseBudget, ResponseBuffer

__all__ = ["AttemptBuffers"]


class AttemptBuffers:
    """Hold a buffer for each attempt whose response is passed on as a whole."""

    def __init__(self, budget: ResponseBudget) -> None:
        self._budget = budget
        self._buffers: dict[int, ResponseBuffer] = {}

    def start(self, number: int, address: Address) -> None:
        """Start to buffer the body of an attempt's response."""
        self._buffers[number] = ResponseBuffer(self._budget, address)

    def append(self, number: int, chunk: bytes) -> bool:
        """Buffer a chunk; return False without it if it exceeds the budget.

        Nothing is buffered for an attempt that goes on after its caller has left.
        """
        buffer = self._buffers.get(number)
        return buffer is None or buffer.append(chunk)

    def pop(self, number: int) -> bytes:
        """Return the body of an attempt's response and free its buffer."""
        return self._buffers.pop(number).pop()

    def clear(self) -> None:
        """Free the buffers that are left."""
        for buffer in self._buffers.values():
            buffer.pop()
        self._buffers.clear()
