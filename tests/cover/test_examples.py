"""The resource files in `examples` are valid."""

from pathlib import Path

import pytest

from swifttrestle.errors import InvalidResourceError
from swifttrestle.internal.resource_files import read_documents
from swifttrestle.resources import find_reference_errors, group_resources, parse_resource

EXAMPLES = Path(__file__).parents[2] / "examples"


@pytest.mark.parametrize("name", ["association", "trust"])
def test_an_example_is_valid(name):
    documents = read_documents((str(EXAMPLES / name),))
    resources = [parse_resource(d.kind, d.name, d.spec).unwrap() for d in documents]
    found = group_resources(resources)
    assert find_reference_errors(found) == []
    kinds = [upstream.type for upstream in found.upstreams.values()]
    assert (kinds.count("engine"), kinds.count("plain")) == (6, 3)
    assert len({upstream.zone for upstream in found.upstreams.values()}) == 3
    assert (EXAMPLES / name / "hosts.txt").read_text().count("swifttrestle-entry") in (7, 8)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("kind: Service\nname: x\nspec: {type: odd}\n", "bad.yaml: Service/x: type: 'odd' is not"),
        (
            "kind: Model\nname: X Y\nspec: {versions: [a], version: a}\n",
            "name: 'X Y' is not a name",
        ),
        ("- a\n- b\n", "is not a resource; give kind, name and spec"),
        ("kind: [", "invalid YAML"),
        ("kind: Drain\nname: a\nspec: {}\n---\nkind: Drain\nname: a\nspec: {}\n", "is also in"),
        ("", "no resource file found"),
    ],
)
def test_an_invalid_file_is_reported_with_file_field_and_value(text, message, tmp_path):
    path = tmp_path / "bad.yaml"
    if text:
        path.write_text(text)
    with pytest.raises(InvalidResourceError) as caught:
        read_documents((str(tmp_path),))
    assert message in str(caught.value)
