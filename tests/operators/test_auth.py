from vanillabeam.operators.auth import Operators
from vanillabeam.tickets.keys import key_digest


def test_an_operator_is_authenticated_by_key():
    operators = Operators([{"name": "aline", "key_digest": key_digest("k")}])
    assert operators.authenticate("k").unwrap() == "aline"
    assert operators.authenticate("x").failure().status == 401
