"""Run part of an event loop's work as a process that can be killed and paused."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from asyncio import tasks as asyncio_tasks
from collections import deque
from collections.abc import Coroutine
from contextvars import Context, ContextVar, copy_context
from enum import StrEnum
from typing import Any
from weakref import WeakSet

from tornado.ioloop import IOLoop

__all__ = ["EmbeddedProcess"]

CURRENT_PROCESS: ContextVar[EmbeddedProcess | None] = ContextVar(
    "process", default=None
)


class ProcessState(StrEnum):
    """List the states of an embedded process."""

    RUNNING = "running"
    PAUSED = "paused"
    ENDED = "ended"


class EmbeddedProcess:
    """Own all tasks, timers and sockets that were started within it.

    A context variable identifies the process; each callback of a loop inherits it
    from the code that scheduled the callback.
    """

    def __init__(self) -> None:
        self.state = ProcessState.RUNNING
        self.tasks: WeakSet[asyncio.Task[Any]] = WeakSet()
        self.backlog: list[asyncio.Handle] = []
        self._paused_keys: list[Any] = []
        self._context: Context = copy_context()
        self._context.run(CURRENT_PROCESS.set, self)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task that belongs to this process."""
        loop = asyncio.get_running_loop()
        _install_hooks(loop)
        return loop.create_task(coroutine, context=self._context)

    def pause(self) -> None:
        """Run no callbacks until the process is resumed, as after SIGSTOP."""
        self.state = ProcessState.PAUSED
        self.backlog.extend(self._remove_ready_callbacks())
        selector = _selector()
        for key in self._selector_keys():
            selector.unregister(key.fileobj)
            self._paused_keys.append(key)

    def resume(self) -> None:
        """Run the callbacks held back since the pause and watch the sockets again."""
        self.state = ProcessState.RUNNING
        selector = _selector()
        for key in self._paused_keys:
            selector.register(key.fileobj, key.events, key.data)
        self._paused_keys.clear()
        _ready_queue().extend(self.backlog)
        self.backlog.clear()

    def kill(self) -> None:
        """Close all sockets at once and drop all tasks and callbacks."""
        if self.state is ProcessState.PAUSED:
            self.resume()
        keys = self._selector_keys()
        self.state = ProcessState.ENDED
        self._remove_ready_callbacks()
        for key in keys:
            _close_descriptor(key.fd)
        for task in list(self.tasks):
            _abandon_task(task, self._context)

    def _selector_keys(self) -> list[Any]:
        keys = _selector().get_map().values()
        return [key for key in keys if self._owns(key.data)]

    def _owns(self, handles: Any) -> bool:
        if not isinstance(handles, tuple):
            return False
        return any(
            handle is not None and handle._context.get(CURRENT_PROCESS) is self
            for handle in handles
        )

    def _remove_ready_callbacks(self) -> list[asyncio.Handle]:
        # The loop counts its ready callbacks before it runs them, so cancelled
        # handles take the places of the removed ones.
        ready = _ready_queue()
        removed = []
        for index, handle in enumerate(ready):
            if handle._context.get(CURRENT_PROCESS) is self:
                removed.append(handle)
                ready[index] = _cancelled_handle()
        return removed


class GatedReadyQueue(deque[asyncio.Handle]):
    """Queue a loop's ready callbacks except those of paused or ended processes."""

    def append(self, handle: asyncio.Handle) -> None:
        """Queue, hold back or drop a callback, depending on its process's state."""
        process = handle._context.get(CURRENT_PROCESS)  # type: ignore[attr-defined]
        if process is None or process.state is ProcessState.RUNNING:
            super().append(handle)
        elif process.state is ProcessState.PAUSED:
            process.backlog.append(handle)


def _install_hooks(loop: Any) -> None:
    if isinstance(loop._ready, GatedReadyQueue):
        return
    loop._ready = GatedReadyQueue(loop._ready)
    loop.set_task_factory(_make_task)


def _make_task(
    loop: asyncio.AbstractEventLoop, coroutine: Any, **options: Any
) -> asyncio.Task[Any]:
    task = asyncio.Task(coroutine, loop=loop, **options)
    context: Context | None = options.get("context")
    process = context.get(CURRENT_PROCESS) if context else CURRENT_PROCESS.get()
    if process is not None:
        process.tasks.add(task)
        if process.state is ProcessState.ENDED:
            _abandon_task(task, copy_context())
    return task


def _abandon_task(task: asyncio.Task[Any], context: Context) -> None:
    # The coroutine's cleanup code runs in the context of the ended process, whose
    # callbacks are dropped, so it has no effect outside the process.
    asyncio_tasks._unregister_task(task)
    task._log_destroy_pending = False  # type: ignore[attr-defined]
    if not task.done():
        with contextlib.suppress(Exception):
            context.run(task.get_coro().close)


def _cancelled_handle() -> asyncio.Handle:
    handle = asyncio.Handle(lambda: None, (), asyncio.get_running_loop())
    handle.cancel()
    return handle


def _ready_queue() -> Any:
    return asyncio.get_running_loop()._ready  # type: ignore[attr-defined]


def _selector() -> Any:
    return asyncio.get_running_loop()._selector  # type: ignore[attr-defined]


def _close_descriptor(fd: int) -> None:
    io_loop: Any = IOLoop.current()
    entry = io_loop.handlers.get(fd)
    io_loop.remove_handler(fd)
    if entry is None:
        asyncio.get_running_loop().remove_reader(fd)
        asyncio.get_running_loop().remove_writer(fd)
        return
    fileobj, handler = entry
    owner = getattr(handler, "__self__", None)
    stream_socket = getattr(owner, "socket", fileobj)
    if isinstance(stream_socket, socket.socket):
        stream_socket.close()
