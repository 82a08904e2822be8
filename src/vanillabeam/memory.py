"""Bound on the bytes of bodies that a VM holds for all of its requests."""

__all__ = ["DEFAULT_BYTES", "Holding", "MemoryBudget"]

#: Bound where the settings name no memory of the VM.
DEFAULT_BYTES = 64 * 1024 * 1024
#: Share of the VM's memory. The rest is for the process itself and its connections.
MEMORY_SHARE = 1 / 3


class MemoryBudget:
    """The bytes that all requests of a VM may hold together.

    :param limit_bytes: the bound.
    :ivar used_bytes: bytes that are held now.

    >>> budget = MemoryBudget(10)
    >>> first, second = budget.open(), budget.open()
    >>> first.resize(8), second.resize(8)
    (True, False)
    >>> first.release()
    >>> second.resize(8)
    True
    """

    def __init__(self, limit_bytes: int = DEFAULT_BYTES):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    @classmethod
    def of_memory(cls, memory_bytes: int) -> "MemoryBudget":
        """Return the budget of a VM.

        :param memory_bytes: memory that its process may use; 0 if unknown.
        """
        return cls(int(memory_bytes * MEMORY_SHARE) or DEFAULT_BYTES)

    def open(self) -> "Holding":
        """Return an empty holding."""
        return Holding(self)


class Holding:
    """The bytes that one request holds; use it as a context manager."""

    def __init__(self, budget: MemoryBudget):
        self._budget = budget
        self._size = 0

    def __enter__(self) -> "Holding":
        return self

    def __exit__(self, *exc_info) -> None:
        self.release()

    def resize(self, size: int) -> bool:
        """Set the number of bytes; return whether the budget allows it.

        Otherwise the number stays as it is.
        """
        used_bytes = self._budget.used_bytes + size - self._size
        if size > self._size and used_bytes > self._budget.limit_bytes:
            return False
        self._budget.used_bytes = used_bytes
        self._size = size
        return True

    def grow(self, size: int) -> bool:
        """Add bytes; return whether the budget allows it."""
        return self.resize(self._size + size)

    def grow_to(self, size: int) -> bool:
        """Hold at least this many bytes; return whether the budget allows it."""
        return self.resize(max(size, self._size))

    def release(self) -> None:
        """Give all bytes back."""
        self.resize(0)
