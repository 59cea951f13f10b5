"""How a cost is measured: processor time, instructions and function calls of a call, bytes of objects."""

import gc
import sys
import time
import tracemalloc
from collections.abc import Callable
from types import FrameType
from typing import Any

Action = Callable[[], object]  # what is measured; its result is not looked at

UDP_HEADERS = 28  # bytes of IPv4 and UDP around a datagram
MIN_MEASURED_TIME = 0.02  # seconds that a call is repeated for, so that the clock's steps do not show
MS_PER_SECOND = 1e3
NS_PER_US = 1_000
TRACED = "memory: Python's own objects by tracemalloc, without the kernel's buffers"
CPU_TIME = "CPU: processor time of the process, on a machine shared with other work"


def cpu_seconds(call: Action, least: float = MIN_MEASURED_TIME) -> float:
    """Processor seconds of one `call()`, the mean of at least one call and of at least `least` seconds."""
    calls, began = 0, time.process_time()
    while True:
        call()
        calls += 1
        spent = time.process_time() - began
        if spent >= least:
            return spent / calls


def cpu_seconds_once(call: Action) -> float:
    """Processor seconds of a single `call()`, for what cannot be repeated."""
    gc.collect()
    began = time.process_time()
    call()
    return time.process_time() - began


def processor_us(call: Action) -> float:
    """Processor time of a single `call()`, microseconds, without a garbage collection before it."""
    began = time.process_time_ns()
    call()
    return (time.process_time_ns() - began) / NS_PER_US


def instructions(call: Action) -> int:
    """Bytecode instructions that `call()` executes: the same whatever else the machine does.

    Work within functions written in C is not seen, but for the instructions that lead to it.
    """
    count = 0

    def trace(frame: FrameType, event: str, arg: Any) -> Any:
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


def retained_bytes(build: Callable[[], object]) -> int:
    """Bytes of Python's objects that `build()` left allocated, its result included."""
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


def function_calls(call: Action) -> int:
    """How many functions `call()` calls, those written in C included.

    The count is the same whatever else the machine does.
    """
    count = 0

    def profile(frame: FrameType, event: str, arg: Any) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    before = sys.getprofile()
    sys.setprofile(profile)
    try:
        call()
    finally:
        sys.setprofile(before)
    return count
