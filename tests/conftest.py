"""Options of the suite."""


def pytest_addoption(parser):
    parser.addoption("--soak", action="store_true", help="more seeds, faults in pairs")
