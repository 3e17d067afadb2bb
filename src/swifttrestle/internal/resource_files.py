"""Resource files: YAML documents with kind, name, spec and an optional version."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml
from returns.result import Failure

from swifttrestle.errors import InvalidResourceError
from swifttrestle.resources import parse_resource

MAX_FILE_BYTES = 8_000_000


@dataclass(frozen=True)
class Document:
    """One resource of a file; `version` is the stored version it was edited from, or None."""

    path: str
    kind: str
    name: str
    spec: dict[str, Any]
    version: int | None

    @property
    def key(self) -> str:
        """Kind and name."""
        return f"{self.kind}/{self.name}"


def read_documents(paths: tuple[str, ...]) -> list[Document]:
    """Return all resources of files and folders; raise InvalidResourceError with all errors."""
    documents: list[Document] = []
    faults: list[str] = []
    for path in _list_files(paths):
        for value in _load_file(path):
            match value:
                case {"kind": str(kind), "name": name, "spec": dict(spec), **rest}:
                    version: Any = rest.pop("version", None)
                    faults.extend(
                        f"{path}: {key!r} is not a key of a resource; remove it" for key in rest
                    )
                    faults.extend(_find_faults(path, kind, name, spec))
                    documents.append(Document(path, kind, str(name), spec, version))
                case _:
                    faults.append(f"{path}: {str(value)[:60]!r} is not a resource; "
                                  "give kind, name and spec")  # fmt: skip
    duplicates = _find_duplicates(documents)
    if faults or duplicates:
        raise InvalidResourceError("\n".join(faults + duplicates))
    return documents


def _list_files(paths: tuple[str, ...]) -> list[str]:
    found: list[str] = []
    for path in paths:
        if Path(path).is_dir():
            found.extend(str(item) for item in sorted(Path(path).rglob("*.yaml")))
        else:
            found.append(path)
    if not found:
        raise InvalidResourceError(f"{', '.join(paths) or 'nothing'}: no resource file found")
    return found


def _load_file(path: str) -> list[Any]:
    try:
        with Path(path).open("rb") as file:
            text = file.read(MAX_FILE_BYTES + 1)
        if len(text) > MAX_FILE_BYTES:
            raise InvalidResourceError(f"{path}: larger than {MAX_FILE_BYTES} bytes; split it")
        return [value for value in yaml.safe_load_all(text) if value is not None]
    except OSError as error:
        raise InvalidResourceError(f"{path}: {error.strerror}") from None
    except yaml.YAMLError as error:
        raise InvalidResourceError(f"{path}: invalid YAML: {error}") from None


def _find_faults(path: str, kind: str, name: Any, spec: dict) -> list[str]:
    result = parse_resource(kind, name, spec)
    if isinstance(result, Failure):
        return [f"{path}: {fault}" for fault in result.failure()]
    return []


def _find_duplicates(documents: list[Document]) -> list[str]:
    seen: dict[str, str] = {}
    duplicates = []
    for document in documents:
        if document.key in seen:
            duplicates.append(f"{document.path}: {document.key} is also in {seen[document.key]}")
        seen[document.key] = document.path
    return duplicates
