import pytest

from vanillabeam.addresses import split_address


@pytest.mark.parametrize(
    ("address", "parts"),
    [
        ("10.0.0.2:7003", ("10.0.0.2", 7003)),
        ("vm-1.example:80", ("vm-1.example", 80)),
        ("[2001:db8::1]:80", ("2001:db8::1", 80)),
    ],
)
def test_an_address_has_a_host_and_a_port(address, parts):
    assert split_address(address) == parts
