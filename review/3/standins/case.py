"""Runs one case: fleet, record and exit code."""

import os
import traceback
from pathlib import Path

from standins.fleet import Fleet, Record


def run_case(file, play, trouble):
    """Play a case in the folder of ``file`` and end the process.

    :param trouble: whether there is a disruption.
    :param play: gets the fleet, and whether there is a disruption; returns the exit
        code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
    """
    record = Record(Path(file).parent / "record.txt")
    fleet = Fleet(record)
    code = 2
    try:
        code = play(fleet, trouble)
    except Exception:
        traceback.print_exc()
    finally:
        fleet.stop()
        record.write(f"exit code {code}")
        # Threads of clients and workers may still wait for an answer.
        os._exit(code)
