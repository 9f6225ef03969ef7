"""Entry point of `python -m lycheefall`."""

from lycheefall._operate.cli import main

main()
