"""Parts of prompts that are kept from targets: their committed records.

A part under which targets end is quarantined for all entry VMs by a command of the
fleet log. After some time one request with it is tried at one target; its answer ends
the quarantine, and another end of a target makes the next trial later.
"""

from typing import NamedTuple, TypedDict

__all__ = [
    "MAX_QUARANTINED",
    "NO_TRIAL",
    "OPEN_TRIAL",
    "QUARANTINE_PATH",
    "QuarantineChange",
    "QuarantinedPart",
    "Quarantine",
    "apply_change",
    "trial_delay_s",
]

#: Path at control VMs at which operators list and release parts.
QUARANTINE_PATH = "/peer/fleet/quarantine"
#: Quarantined parts that are kept; the oldest record gives way.
MAX_QUARANTINED = 256
#: Time until the first trials after failed ones of a part that was answered before: it
#: is more likely to be sound.
EARLY_DELAYS_S = (2.0, 10.0, 60.0)
#: Time until the next trial after the first failed one, and the factor for each later
#: one: three trials fall into a day.
FIRST_DELAY_S = 600.0
DELAY_FACTOR = 6.0
MAX_DELAY_S = 7 * 86_400.0

#: Values of ``trial`` beside the name of an entry VM.
NO_TRIAL = ""
OPEN_TRIAL = "*"


class QuarantinedPart(TypedDict):
    """A quarantined part.

    :param number: index of the log entry that made this record; names a trial.
    :param since_ms: begin of the quarantine, in Unix milliseconds.
    :param targets: number of targets that ended under the part.
    :param was_answered: whether a target had answered a prompt with it before.
    :param failed: number of failed trials.
    :param trial: entry VM that may send one request with the part; ``OPEN_TRIAL``
        while the first that has one is looked for, ``NO_TRIAL`` otherwise.
    :param next_ms: time from which a trial may be made, in Unix milliseconds.
    """

    number: int
    since_ms: int
    targets: int
    was_answered: bool
    failed: int
    trial: str
    next_ms: int


#: Quarantined parts by id.
Quarantine = dict[str, QuarantinedPart]


class QuarantineChange(TypedDict):
    """Change of one part's record.

    :param basis: number of the record that is replaced, 0 if there must be none;
        ``None`` replaces any. The change has no effect on another one.
    :param record: ``None`` ends the quarantine.
    """

    part: str
    basis: int | None
    record: QuarantinedPart | None


class _Age(NamedTuple):
    number: int
    part: str


def apply_change(
    quarantine: Quarantine, change: QuarantineChange, index: int
) -> Quarantine:
    """Return the quarantined parts after a change.

    :param index: index of the change in the log.
    """
    part, basis = change["part"], change["basis"]
    number = quarantine[part]["number"] if part in quarantine else 0
    if basis is not None and basis != number:
        return quarantine
    kept = {other: record for other, record in quarantine.items() if other != part}
    if change["record"] is None:
        return kept
    if len(kept) >= MAX_QUARANTINED:
        oldest = min(_Age(record["number"], other) for other, record in kept.items())
        del kept[oldest.part]
    return kept | {part: change["record"] | {"number": index}}


def trial_delay_s(failed: int, was_answered: bool) -> float:
    """Return the seconds until the next trial.

    :param failed: number of failed trials. The first trial is made at once: it tells a
        part from others that were merely open beside it.
    :param was_answered: whether a target had answered a prompt with it before.
    """
    soon = EARLY_DELAYS_S if was_answered else ()
    if failed <= len(soon):
        return (0.0, *soon)[failed]
    delay_s = FIRST_DELAY_S * DELAY_FACTOR ** (failed - len(soon) - 1)
    return min(delay_s, MAX_DELAY_S)
