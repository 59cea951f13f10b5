"""How a cost is metered: processor time of a call, bytes that objects hold, headers of what is sent."""

from __future__ import annotations

import gc
import sys
import time
import tracemalloc
from collections.abc import Callable
from types import FrameType
from typing import Any

UDP_HEADERS = 28  # bytes of IPv4 and UDP around a datagram
LEAST_TIME = 0.02  # seconds that a call is repeated for, so that the clock's steps do not show
MILLISECONDS = 1e3  # in a second
TRACED = "memory: Python's own objects by tracemalloc, without the kernel's buffers"
CPU_TIME = "CPU: processor time of the process, on a machine shared with other work"


Call = Callable[[], object]


def cpu_seconds(call: Call, least: float = LEAST_TIME) -> float:
    """Processor seconds of one `call()`, the mean of as many as `least` seconds hold; one at least."""
    calls, began = 0, time.process_time()
    while True:
        call()
        calls += 1
        spent = time.process_time() - began
        if spent >= least:
            return spent / calls


def once(call: Call) -> float:
    """Processor seconds of `call()` alone, for what cannot be done twice."""
    gc.collect()
    began = time.process_time()
    call()
    return time.process_time() - began


def processor_us(call: Call) -> float:
    """Processor time of `call()` alone, microseconds."""
    began = time.process_time_ns()
    call()
    return (time.process_time_ns() - began) / 1_000


def instructions(call: Call) -> int:
    """Bytecode instructions that `call()` executes: the same whatever else the machine does. Work within
    functions written in C is not seen, but for the instructions that lead to it."""
    count = 0

    def trace(frame: FrameType, event: str, argument: object) -> Any:
        nonlocal count
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        if event == "opcode":
            count += 1
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count


def held_bytes(build: Call) -> int:
    """Bytes of Python's objects that stand because of `build()`, whose result is kept meanwhile."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        built = build()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del built
    return after - before


def function_calls(call: Call) -> int:
    """How many functions `call()` calls, those written in C among them: the same whatever else the machine
    does."""
    count = 0

    def profile(frame: FrameType, event: str, argument: object) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    before = sys.getprofile()
    sys.setprofile(profile)
    try:
        call()
    finally:
        sys.setprofile(before)
    return count
