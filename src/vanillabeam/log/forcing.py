"""Continuing a group from one stopped replica whose other voters are lost for good.

An operator's last way out. The replica becomes the only voter of a group with a new
id, so that no replica of the old group counts in it. What a lost majority committed and
this replica never received is lost.
"""

import secrets
from collections.abc import Callable, Collection
from typing import NamedTuple, TypedDict

from returns.result import Failure, Result, Success

from vanillabeam.exceptions import InvariantBroken, PeerUnreachable, VanillabeamError
from vanillabeam.log.contents import Contents, read_contents
from vanillabeam.log.entries import EntryLog, encode_membership
from vanillabeam.log.exceptions import ForceRefused, LogError
from vanillabeam.log.folder import Folder, ReadFolder
from vanillabeam.log.records import Entry, EntryKind, Member, Membership
from vanillabeam.log.requests import LogStatus
from vanillabeam.log.storage import Storage, open_storage

__all__ = ["ForcePlan", "force", "plan_force"]

GROUP_ID_BYTES = 8
#: Added to the term, so that it is above that of every leader of the old group: more
#: than the elections of some days without a pause.
TERM_GAP = 1_000_000
#: Most indexes that are skipped; each is an entry of its own.
MAX_SKIPPED = 100_000

#: Returns the status of the replica at an address.
Ask = Callable[[str], Result[LogStatus, VanillabeamError]]


class ForcePlan(TypedDict):
    """A group that is to be continued from one replica.

    :param vm: VM of the replica, the only voter then.
    :param old_group_id: id of the group that has lost its majority.
    :param group_id: id of the group that continues it.
    :param commit: index up to which the replica knows that entries were committed.
    :param last_index: index of its last entry; later ones are lost.
    :param last_term: term of that entry.
    :param first_index: index of the new group's membership.
    :param term: term of the new group's entries.
    :param gone: voters that the operator says are gone for good.
    :param emptied: voters that answer: their data of the group has to be moved away
        before they can join.
    """

    group: str
    vm: str
    old_group_id: str
    group_id: str
    commit: int
    last_index: int
    last_term: int
    first_index: int
    term: int
    gone: list[str]
    emptied: list[str]


class _Survey(NamedTuple):
    """Answers from the addresses of the voters.

    :param answers: statuses of the voters that answered as replicas of the group.
    :param silent: voters that nothing answers for, or another replica does.
    :param unclear: voters whose address answered something else.
    :param voter_sets: voters of all memberships that are known now.
    """

    answers: dict[Member, LogStatus]
    silent: set[Member]
    unclear: set[Member]
    voter_sets: set[frozenset[Member]]


def plan_force(
    folder: Folder | ReadFolder,
    group: str,
    gone: Collection[str],
    above: int,
    ask: Ask,
    others: Collection[str] = (),
) -> Result[ForcePlan, LogError]:
    """Return how a group would be continued from a stopped VM's replica.

    :param gone: VMs of the voters that are gone for good, by the operator.
    :param above: highest index of the group that any VM has shown: new entries come
        after it, as VMs take a newer state only.
    :param ask: returns the status of the replica at an address.
    :param others: addresses of further VMs to ask, which may know of voters that this
        replica has never heard of.
    :returns: :class:`ForceRefused` if a majority of the old group may still live, or
        another replica is the better one.
    """
    read = read_contents(folder)
    if isinstance(read, Failure):
        return read
    contents = read.unwrap()
    refusal = _unfit(contents, above)
    if refusal:
        return Failure(ForceRefused(refusal))
    me = _membership(contents).member(contents.identity["member_id"])
    asked = ask(me.address)
    if not isinstance(asked, Failure) or not _is_unreachable(asked):
        return Failure(ForceRefused(f"{me.vm} answers: stop it first"))
    survey = _survey(contents, me, ask, others)
    refusal = _living(survey, me, set(gone)) or _better(survey, contents)
    if refusal:
        return Failure(ForceRefused(refusal))
    return Success(_plan(group, contents, me, survey, above))


def force(folder: Folder, plan: ForcePlan) -> Result[None, LogError]:
    """Make the replica in a stopped VM's folder the only voter of the new group.

    The group's id is stored first: if this is broken off there, the replica can't be
    elected, as no replica of the old group answers one of another.

    :returns: :class:`ForceRefused` if the folder has changed since the plan.
    """
    opened = open_storage(folder, plan["group"], _no_id)
    if isinstance(opened, Failure):
        return opened
    storage, contents = opened.unwrap()
    try:
        return _write(storage, contents, plan)
    finally:
        storage.close()


def _write(
    storage: Storage, contents: Contents, plan: ForcePlan
) -> Result[None, LogError]:
    log = _log(contents)
    if (log.last_index, contents.commit) != (plan["last_index"], plan["commit"]):
        return Failure(ForceRefused("the folder has changed"))
    added = _added_entries(log, contents.identity["member_id"], plan)
    saved = storage.save_identity(group_id=plan["group_id"], promised="")
    if isinstance(saved, Failure):
        return saved
    entries = (*contents.entries, *added)
    continued = contents._replace(entries=entries, term=plan["term"], voted_for="")
    return storage.finish_snapshot(continued)


def _no_id() -> str:
    raise InvariantBroken("the folder has no identity any more")


def _log(contents: Contents) -> EntryLog:
    return EntryLog(contents.snapshot, contents.entries)


def _membership(contents: Contents) -> Membership:
    return _log(contents).membership


def _unfit(contents: Contents, above: int) -> str:
    """Return why no group can be continued from this folder, empty if one can."""
    if contents.identity is None or not contents.identity["group_id"]:
        return "the folder holds no group"
    log = _log(contents)
    if not log.membership.is_voter(contents.identity["member_id"]):
        return "the replica is no voter by its own log"
    if not log.membership.opened:
        return "the group has never opened: found a new one"
    if above - log.last_index > MAX_SKIPPED:
        return f"{above} is more than {MAX_SKIPPED} above {log.last_index}"
    return ""


def _is_unreachable(asked: Failure) -> bool:
    return isinstance(asked.failure(), PeerUnreachable)


def _survey(
    contents: Contents, me: Member, ask: Ask, others: Collection[str]
) -> _Survey:
    """Ask all voters, also those that only an answer names, and other VMs."""
    log = _log(contents)
    known = (log.membership, log.membership_at(max(contents.commit, log.base_index)))
    survey = _Survey({}, set(), set(), {frozenset(each.voters) for each in known})
    group_id, done = contents.identity["group_id"], {me}
    for address in others:
        asked = ask(address)
        _sort_in(survey, Member("", address, address), group_id, asked)
    # No voter is lost with a VM that is only asked.
    survey.silent.clear()
    while waiting := set().union(*survey.voter_sets) - done:
        voter = min(waiting)
        done.add(voter)
        _sort_in(survey, voter, group_id, ask(voter.address))
    return survey


def _sort_in(
    survey: _Survey,
    voter: Member,
    group_id: str,
    asked: Result[LogStatus, VanillabeamError],
) -> None:
    if isinstance(asked, Failure):
        found = survey.silent if _is_unreachable(asked) else survey.unclear
        found.add(voter)
        return
    status = asked.unwrap()
    is_same = status["member_id"] == voter.member_id
    if not status["member_id"] or status["group_id"] not in (group_id, ""):
        survey.unclear.add(voter)
    elif is_same:
        survey.answers[voter] = status
    else:
        survey.silent.add(voter)
    if status["group_id"] == group_id:
        survey.voter_sets.add(_voters(status))


def _voters(status: LogStatus) -> frozenset[Member]:
    return frozenset(
        Member(member["member_id"], member["vm"], member["address"])
        for member in status["members"]
        if member["votes"]
    )


def _living(survey: _Survey, me: Member, gone: set[str]) -> str:
    """Return why a majority of the old group may still live, empty if none can."""
    if survey.unclear:
        names = _names(survey.unclear)
        return f"not clear, as no replica of this group answers there: {names}"
    known = {voter.vm for voters in survey.voter_sets for voter in voters}
    if gone - known:
        return f"no voter of the group: {', '.join(sorted(gone - known))}"
    living = {me, *survey.answers}
    named = {voter for voter in living if voter.vm in gone}
    if named:
        return f"not gone: {_names(named)}"
    for voters in survey.voter_sets:
        if len(voters & living) > len(voters) // 2:
            return f"a majority is there, start these: {_names(voters & living)}"
    unnamed = {voter for voter in survey.silent if voter.vm not in gone}
    if unnamed:
        return f"may come back, as not named as gone for good: {_names(unnamed)}"
    return ""


def _better(survey: _Survey, contents: Contents) -> str:
    """Return which voter holds a newer log, empty if none that answers does."""
    log = _log(contents)
    held = (log.last_term, log.last_index)
    for voter, status in sorted(survey.answers.items()):
        last = (status.get("last_term", 0), status.get("last_index", 0))
        if last > held or status["commit"] > log.last_index:
            return f"{voter.vm} holds a newer log: continue from that one"
    return ""


def _plan(
    group: str, contents: Contents, me: Member, survey: _Survey, above: int
) -> ForcePlan:
    log = _log(contents)
    return ForcePlan(
        group=group,
        vm=me.vm,
        old_group_id=contents.identity["group_id"],
        group_id=secrets.token_hex(GROUP_ID_BYTES),
        commit=contents.commit,
        last_index=log.last_index,
        last_term=log.last_term,
        first_index=max(log.last_index, above) + 1,
        term=contents.term + TERM_GAP,
        gone=sorted({voter.vm for voter in survey.silent}),
        emptied=sorted({voter.vm for voter in survey.answers}),
    )


def _added_entries(log: EntryLog, member_id: str, plan: ForcePlan) -> list[Entry]:
    """Return the entries that skip indexes, and the one with the new membership."""
    first, term, old = plan["first_index"], plan["term"], log.membership
    skipped = range(log.last_index + 1, first)
    entries = [Entry(index, term, EntryKind.NOOP, "") for index in skipped]
    allowed = tuple(vm for vm in old.allowed if vm not in plan["gone"])
    membership = old._replace(
        index=first, voters=(old.member(member_id),), learners=(), allowed=allowed
    )
    body = encode_membership(membership)
    return [*entries, Entry(first, term, EntryKind.MEMBERS, body)]


def _names(members: Collection[Member]) -> str:
    return ", ".join(sorted({member.vm for member in members}))
