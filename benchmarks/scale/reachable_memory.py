"""Memory of one gateway of many in a process: the sizes of all objects reached from it, added up.

What a process has once is left out: modules, classes, functions, and what the caller names as shared. An
object that several gateways refer to counts for each, as it would in processes of their own. Memory of
C libraries that Python does not know of, and what the allocator wastes, are not counted.
"""

import gc
import sys
from collections.abc import Iterable
from types import BuiltinFunctionType, CodeType, FunctionType, ModuleType
from typing import Any

NOT_FOLLOWED = (type, ModuleType, CodeType)


def reachable_bytes(root: Any, shared: Iterable[Any] = ()) -> int:
    """Bytes of the objects reached from `root`; those of `shared`, and what only they reach, are left out."""
    seen, waiting, total = {id(each) for each in shared}, [root], 0
    while waiting:
        each = waiting.pop()
        if id(each) in seen or isinstance(each, NOT_FOLLOWED):
            continue
        seen.add(id(each))
        if isinstance(each, FunctionType):
            waiting += [each.__closure__, each.__defaults__]
            continue
        total += sys.getsizeof(each)
        waiting += [each.__self__] if isinstance(each, BuiltinFunctionType) else gc.get_referents(each)
    return total
