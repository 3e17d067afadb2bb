"""The default of optional callbacks."""


def do_nothing(*_: object) -> None:
    """Do nothing."""
