"""Load and experiment tool of vanillabeam.

A module of this package with a function ``run(seed: int) -> dict`` is an entry.
``python -m bench NAME --seed 1 --repeats 5`` runs it with the seeds 1 to 5 and
prints the median and spread of every number that it returns, at any depth.
``--keep`` stores the result by commit; later runs print the ratio to it.
An entry that compares variants runs all of them in each call, in the order of
:func:`bench.cost.interleave`.

Helpers for entries are :mod:`bench.arrivals`, :mod:`bench.latency`,
:mod:`bench.cost`, :mod:`bench.fit`, and :func:`vanillabeam.burn.line_plot` for
plots.
"""
