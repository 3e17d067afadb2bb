"""Invalid settings are reported with name, value and fix; secrets are never shown."""

import dataclasses
from pathlib import Path

import pytest

from swifttrestle.errors import InvalidSettingError
from swifttrestle.internal.settings import (
    ControllerSettings,
    EntrySettings,
    describe_settings,
    load_settings,
)
from swifttrestle.internal.validated_fields import format_default

GOOD = {"name": "n1", "host": "h1", "zone": "z1", "peer_secret": "sixteen-letters-or-more"}


@pytest.mark.parametrize(
    ("flags", "env", "message"),
    [
        ({"name": "No Name"}, {}, "--name: 'No Name' is not a name; use"),
        ({"threads": 2}, {}, "--threads: 2 is out of range; give a whole number from 8 to 1024"),
        ({"threads": "many"}, {}, "--threads: 'many' is not a number"),
        ({}, {"SWIFTTRESTLE_LISTEN": "here"}, "SWIFTTRESTLE_LISTEN: 'here' is not an address"),
        ({"platform": "ftp://x"}, {}, "--platform: 'ftp://x' is not an address of the object API"),
        ({"log_format": "xml"}, {}, "--log_format: 'xml' is not a choice; give one of json, text"),
        ({"peer_secret": "short"}, {}, "--peer_secret: the secret is too short"),
        ({"colour": 1}, {}, "--colour is not a setting"),
    ],
)
def test_an_invalid_setting_is_reported_with_value_and_fix(flags, env, message):
    with pytest.raises(InvalidSettingError) as caught:
        load_settings(EntrySettings, {**GOOD, **flags}, env)
    assert message in str(caught.value)
    assert "short" not in str(caught.value).replace("too short", "")


def test_a_missing_setting_is_reported_by_name():
    with pytest.raises(InvalidSettingError, match=r"--zone .*SWIFTTRESTLE_ZONE.* is not set"):
        load_settings(EntrySettings, {k: v for k, v in GOOD.items() if k != "zone"}, {})


def test_a_flag_overrides_the_environment():
    env = {"SWIFTTRESTLE_THREADS": "20", "SWIFTTRESTLE_SEED": "7"}
    found = load_settings(EntrySettings, {**GOOD, "threads": 30}, env)
    assert (found.threads, found.seed) == (30, 7)


def test_no_secret_is_shown():
    found = load_settings(EntrySettings, {**GOOD, "platform_key": "the-platform-key"}, {})
    shown = str(found.show())
    assert GOOD["peer_secret"] not in shown
    assert "the-platform-key" not in shown


@pytest.mark.parametrize("kind", [EntrySettings, ControllerSettings])
def test_the_help_text_lists_every_setting(kind):
    text = describe_settings(kind, "program")
    assert all(f"--{item.name}=" in text for item in dataclasses.fields(kind))


@pytest.mark.parametrize("kind", [EntrySettings, ControllerSettings])
def test_the_docs_page_lists_every_setting(kind):
    page = (Path(__file__).parents[2] / "docs" / "SETTINGS.md").read_text()
    for item in dataclasses.fields(kind):
        default = format_default(item).removeprefix("default ")
        assert f"| `--{item.name}` | {default} | {item.metadata['doc']} |" in page
