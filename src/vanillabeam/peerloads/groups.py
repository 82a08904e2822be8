"""Groups of entry VMs that exchange their loads, and the targets near each group."""

from hashlib import blake2b

__all__ = ["MAX_GROUP_VMS", "belongs_to", "group_bits", "group_of"]

#: Entry VMs of a group. Each message goes to all others of the group, so its size
#: bounds what one VM sends and receives.
MAX_GROUP_VMS = 32


def group_bits(data_centre_vms: int) -> int:
    """Return how many times a data centre is halved into groups.

    :param data_centre_vms: entry VMs of the data centre.
    """
    bits = 0
    while data_centre_vms > MAX_GROUP_VMS << bits:
        bits += 1
    return bits


def group_of(name: str, data_centre: str, bits: int) -> str:
    """Return the group of an entry VM or of a target.

    :param bits: as :func:`group_bits` returns; 0 puts the whole data centre into one.
    """
    return f"{data_centre}/{bits}/{_prefix(name, bits)}"


def belongs_to(group: str, name: str, data_centre: str) -> bool:
    """Return whether a target is near the entry VMs of a group."""
    own, bits, prefix = group.rsplit("/", 2)
    return own == data_centre and _prefix(name, int(bits)) == int(prefix)


def _prefix(name: str, bits: int) -> int:
    if not bits:
        return 0
    digest = blake2b(name.encode(), digest_size=4).digest()
    return int.from_bytes(digest) >> (32 - bits)
