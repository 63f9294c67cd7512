"""Entry point of `python -m kelpjunction`."""

from kelpjunction.cli import main

if __name__ == "__main__":
    main(prog_name="kelpjunction")
