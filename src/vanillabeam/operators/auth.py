"""Authentication of operators by their keys."""

import hmac
from collections.abc import Iterable
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from vanillabeam.exceptions import Unauthenticated
from vanillabeam.tickets.keys import key_digest

if TYPE_CHECKING:
    from vanillabeam.settings import Operator

__all__ = ["Operators"]


class Operators:
    """Look up operators by key.

    :param operators: names and key digests from the settings.
    """

    def __init__(self, operators: Iterable["Operator"]):
        self._operators = tuple(operators)

    def authenticate(self, key: str | None) -> Result[str, Unauthenticated]:
        """Return the name of the operator with this key.

        Digests are compared in constant time.

        :returns: the name, or :class:`Unauthenticated`.
        """
        if key is None:
            return Failure(Unauthenticated("no key"))
        digest = key_digest(key)
        name = None
        for operator in self._operators:
            if hmac.compare_digest(digest, operator["key_digest"]):
                name = operator["name"]
        if name is None:
            return Failure(Unauthenticated("unknown operator key"))
        return Success(name)
