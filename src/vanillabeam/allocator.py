"""Settings of the C library's allocator."""

import ctypes

__all__ = ["return_large_blocks"]

#: Parameters of ``mallopt``.
M_MMAP_THRESHOLD, M_ARENA_MAX = -3, -8
LARGE_BYTES = 256 * 1024
ARENAS = 2


def return_large_blocks() -> bool:
    """Have large blocks returned to the system as soon as they are freed.

    Else the library raises its threshold with the first ones that are freed, keeps
    later ones in its heaps, one for each thread, and a process of many large messages
    grows.

    :returns: whether the library has such settings.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    is_set = mallopt(M_MMAP_THRESHOLD, LARGE_BYTES)
    return bool(mallopt(M_ARENA_MAX, ARENAS) and is_set)
