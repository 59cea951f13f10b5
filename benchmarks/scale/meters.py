"""How a cost is metered: processor time of a call, bytes that objects hold, headers of what is sent."""

import gc
import sys
import time
import tracemalloc

UDP_HEADERS = 28  # bytes of IPv4 and UDP around a datagram
MIN_MEASURED_TIME = 0.02  # seconds that a call is repeated for, so that the clock's steps do not show
MS_PER_SECOND = 1e3  # in a second
TRACED = "memory: Python's own objects by tracemalloc, without the kernel's buffers"
CPU_TIME = "CPU: processor time of the process, on a machine shared with other work"


def cpu_seconds(call, least=MIN_MEASURED_TIME):
    """Processor seconds of one `call()`, the mean of as many as `least` seconds hold; one at least."""
    calls, begun = 0, time.process_time()
    while True:
        call()
        calls += 1
        spent = time.process_time() - begun
        if spent >= least:
            return spent / calls


def cpu_seconds_once(call):
    """Processor seconds of `call()` alone, for what cannot be done twice."""
    gc.collect()
    begun = time.process_time()
    call()
    return time.process_time() - begun


def processor_us(call):
    """Processor time of `call()` alone, microseconds."""
    begun = time.process_time_ns()
    call()
    return (time.process_time_ns() - begun) / 1_000


def instructions(call):
    """Bytecode instructions that `call()` executes: the same whatever else the machine does. Work within
    functions written in C is not seen, but for the instructions that lead to it."""
    count = 0

    def trace(frame, event, arg):
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


def retained_bytes(build):
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


def function_calls(call):
    """How many functions `call()` calls, those written in C among them: the same whatever else the machine
    does."""
    count = 0

    def profile(frame, event, arg):
        nonlocal count
        count += event in ("call", "c_call")

    before = sys.getprofile()
    sys.setprofile(profile)
    try:
        call()
    finally:
        sys.setprofile(before)
    return count
