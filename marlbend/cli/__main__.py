"""Let `python -m marlbend.cli` run the tool."""

from marlbend.cli.main import run

if __name__ == '__main__':
    run()
