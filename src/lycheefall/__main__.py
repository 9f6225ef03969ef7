"""Run the command line with `python -m lycheefall`."""

from lycheefall._operate.cli import main

main()
