"""Which operator sends a request."""

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
    """Operators by key.

    :param operators: from the settings.
    """

    def __init__(self, operators: Iterable["Operator"]):
        self._operators = tuple(operators)

    def authenticate(self, key: str | None) -> Result[str, Unauthenticated]:
        """Return the name of the operator whose ``key`` this is."""
        if key is None:
            return Failure(Unauthenticated("no key"))
        given = key_digest(key)
        found = None
        for operator in self._operators:
            if hmac.compare_digest(given, operator["key_digest"]):
                found = operator["name"]
        if found is None:
            return Failure(Unauthenticated("unknown operator key"))
        return Success(found)
