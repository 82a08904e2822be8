"""Entry point of the process that runs one VM of a fleet on the platform."""

import sys

from vanillabeam.earlysignals import hold_signals


def main() -> int:
    """Run a VM until SIGTERM has drained it; return the exit code.

    The program is imported once signals are held, as the import takes most of the
    time of a start.
    """
    hold_signals()
    from vanillabeam.platform.program import run_program

    return run_program()


if __name__ == "__main__":
    sys.exit(main())
