"""Run the tool with `python -m marlbend.cli`."""

from marlbend.cli.main import run

if __name__ == '__main__':
    run()
