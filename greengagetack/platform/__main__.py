"""greengagetack.platform.__main__: starts the daemon of this VM."""

from greengagetack.signals import EarlySignals


def main() -> None:
    """Run the daemon of this VM until it is stopped."""
    signals = EarlySignals()
    signals.install()
    # The libraries take some time to load, in which a signal must not end the process.
    from greengagetack.platform.command import run_command

    run_command(obj=signals)


if __name__ == "__main__":
    main()
