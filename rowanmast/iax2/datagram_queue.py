"""Shares the handling of received datagrams among their senders. No I/O.

The event loop reads up to 32 datagrams before it turns to other sockets, so one sender at full speed would
take the time of all. Only a few are handled in a turn; the others wait, for each sender in a queue of its own
that drops what does not fit, as the socket's buffer would.
"""

from __future__ import annotations

from collections import OrderedDict, deque

Address = tuple[str, int]

MAX_PER_TURN = 8  # datagrams handled in one iteration of the event loop
MAX_QUEUED_PER_SENDER = 64
MAX_SENDERS = 1000  # with queued datagrams; those of further senders are dropped


class DatagramQueue:
    """The datagrams that wait to be handled, by sender."""

    def __init__(self) -> None:
        self.by_sender: OrderedDict[Address, deque[bytes]] = OrderedDict()

    def __bool__(self) -> bool:
        return bool(self.by_sender)

    def push(self, data: bytes, sender: Address) -> None:
        """Queues a datagram, or drops it if too many of its sender wait."""
        queue = self.by_sender.get(sender)
        if queue is None:
            if len(self.by_sender) >= MAX_SENDERS:
                return
            queue = self.by_sender[sender] = deque()
        if len(queue) < MAX_QUEUED_PER_SENDER:
            queue.append(data)

    def pop(self) -> tuple[bytes, Address]:
        """Removes and returns the next datagram and its sender; each sender has its turn."""
        sender, queue = self.by_sender.popitem(last=False)
        data = queue.popleft()
        if queue:
            self.by_sender[sender] = queue
        return data, sender
