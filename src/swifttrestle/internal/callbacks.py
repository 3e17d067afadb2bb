"""What stands in the place of a callback that nobody has set."""


def do_nothing(*_: object) -> None:
    """Do nothing: nobody wants to know."""
