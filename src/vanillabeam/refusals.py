"""Connections that were refused, as no process listens at their address."""

__all__ = ["is_refusal"]


def is_refusal(exc: BaseException) -> bool:
    """Return whether a connection failed because its address refused it.

    A refusal comes from the host itself, which is therefore within reach.

    >>> is_refusal(ConnectionRefusedError())
    True
    """
    if isinstance(exc, BaseExceptionGroup):
        return all(is_refusal(each) for each in exc.exceptions)
    if isinstance(exc, ConnectionRefusedError):
        return True
    cause = exc.__cause__ or exc.__context__
    return cause is not None and is_refusal(cause)
