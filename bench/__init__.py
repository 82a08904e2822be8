"""Load and experiment tool of vanillabeam.

A module here with a function ``run(seed: int) -> dict`` is an entry:
``python -m bench NAME --seed 1 --repeats 5`` runs it with the seeds 1 to 5 and
prints median and spread of every number that it returns, at any depth.
An entry that compares variants runs all of them in each call, through
:func:`bench.cost.interleave`. ``--keep`` stores the result by commit and later
runs print the ratio to it.

For entries: :mod:`bench.arrivals`, :mod:`bench.latency`, :mod:`bench.cost`,
:mod:`bench.fit`, and :func:`vanillabeam.burn.line_plot` for plots.
"""
