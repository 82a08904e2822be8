from vanillabeam.rendezvous import rank


def test_a_key_prefers_the_same_names_wherever_it_is_asked():
    names = ["a", "b", "c", "d"]
    assert rank("k", names) == rank("k", names[::-1])
    left = [name for name in rank("k", names) if name != "b"]
    assert rank("k", ["a", "c", "d"]) == left
