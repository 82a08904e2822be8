from vanillabeam.rendezvous import rank


def test_the_ranking_depends_neither_on_input_order_nor_on_removed_names():
    names = ["a", "b", "c", "d"]
    assert rank("k", names) == rank("k", names[::-1])
    remaining = [name for name in rank("k", names) if name != "b"]
    assert rank("k", ["a", "c", "d"]) == remaining
