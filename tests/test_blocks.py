import pytest
from hypothesis import given, settings, strategies as st

from tests.cache.builders import make_ids, make_text, make_workspace
from vanillabeam.blocks import (
    block_ids,
    chain_prefix,
    conversation_root,
    cut,
    is_block_id,
    salt,
    workspace_tag,
    workspace_tag_of,
)
from vanillabeam.exceptions import InvariantBroken


@settings(derandomize=True, max_examples=50)
@given(st.text(max_size=60), st.text(max_size=60))
def test_pieces_of_a_prompt_begin_every_longer_prompt(first, more):
    short = cut(first, block_tokens=2)
    assert cut(first + more, block_tokens=2)[: len(short)] == short
    assert all(piece.content.decode() for piece in short)


@settings(derandomize=True, max_examples=50)
@given(st.lists(st.text(max_size=20), max_size=6), st.text(max_size=20))
def test_a_further_message_keeps_the_earlier_pieces(texts, more):
    messages = [{"role": "user", "content": text} for text in texts]
    longer = [*messages, {"role": "assistant", "content": more}]
    short = cut(messages, block_tokens=3)
    assert cut(longer, block_tokens=3)[: len(short)] == short


def test_changing_the_first_chunk_changes_all_block_ids():
    base = make_ids(3)
    assert make_ids(5)[:3] == base
    changed = block_ids(
        make_workspace(), "ledger", "v1", "", cut("y" + make_text(3)[1:])
    )
    assert not set(base) & set(changed)
    assert len({chain_prefix(block_id) for block_id in base}) == 1
    assert all(is_block_id(block_id) for block_id in base)


def test_block_ids_and_salts_differ_by_workspace_version_and_adapter():
    one, same_secret = make_workspace(), make_workspace("kiosk")
    other = make_workspace("depot", "22")
    ids = [
        make_ids(2, one),
        make_ids(2, same_secret),
        make_ids(2, other),
        make_ids(2, one, version="v2"),
        make_ids(2, one, adapter="a@1"),
    ]
    assert len({block_id for chain in ids for block_id in chain}) == 10
    salts = {
        salt(one, "m", "v1"),
        salt(one, "m", "v2"),
        salt(one, "m", "v1", "a@1"),
        salt(same_secret, "m", "v1"),
        salt(other, "m", "v1"),
        salt(one, "mv", "1"),
    }
    assert len(salts) == 6
    assert workspace_tag_of(ids[0][0]) == workspace_tag(one)


def test_conversation_root_is_stable_as_the_conversation_grows():
    workspace = make_workspace()
    first = [{"role": "system", "content": "s"}, {"role": "user", "content": "q"}]
    later = [*first, {"role": "assistant", "content": "a"}]
    root = conversation_root(workspace, "m", first)
    assert conversation_root(workspace, "m", later) == root
    assert conversation_root(make_workspace("kiosk"), "m", first) != root


def test_a_short_cache_secret_is_rejected():
    with pytest.raises(InvariantBroken):
        make_ids(1, make_workspace(secret="11")._replace(cache_secret="11"))
