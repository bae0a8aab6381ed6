"""Reads documents from files and records their locations."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

import yaml

from mulberrypass.model.fault import Fault, Source
from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

SUFFIXES = frozenset({".yaml", ".yml", ".json"})
# What the parsers raise, besides their own errors, on documents that are
# nested too deeply, have collections as keys, or tags with the wrong content.
PARSER_CRASHES = (
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
TIMESTAMP_TAG = "tag:yaml.org,2002:timestamp"


@value_class
class RawDocument:
    """One document, not yet validated."""

    source: Source
    content: Any


@value_class
class LoadResult:
    """The documents of some files, and the faults of unreadable files."""

    documents: tuple[RawDocument, ...]
    faults: tuple[Fault, ...]


class _Loader(yaml.SafeLoader):
    """YAML loader that keeps timestamps as text and rejects duplicate keys."""

    def construct_mapping(self, node: Any, deep: bool = False) -> Any:
        seen = set()
        for key_node, _ in node.value:
            key = key_node.value
            if key in seen:
                raise yaml.MarkedYAMLError(
                    problem=f'field "{key}" is given twice',
                    problem_mark=key_node.start_mark,
                )
            seen.add(key)
        return super().construct_mapping(node, deep=True)


_Loader.yaml_implicit_resolvers = {
    first: [(tag, regex) for tag, regex in rules if tag != TIMESTAMP_TAG]
    for first, rules in yaml.SafeLoader.yaml_implicit_resolvers.items()
}


def load_files(paths: Iterable[str]) -> LoadResult:
    """Read the documents of files, and of the files in directories."""
    documents: list[RawDocument] = []
    faults: list[Fault] = []
    for path in paths:
        found = list(_expand(Path(path)))
        if not found:
            problem = "there is no YAML or JSON file"
            faults.append(_file_fault(path, 0, problem))
        for file in found:
            try:
                documents.extend(load_text(str(file), file.read_text()))
            except _UnreadableFile as exc:
                faults.append(exc.fault)
            except (OSError, UnicodeDecodeError) as exc:
                problem = f"the file can't be read: {exc}"
                faults.append(_file_fault(str(file), 0, problem))
            except PARSER_CRASHES as exc:
                problem = f"the file can't be parsed: {type(exc).__name__}"
                faults.append(_file_fault(str(file), 0, problem))
    return LoadResult(tuple(documents), tuple(faults))


def load_text(file: str, text: str) -> list[RawDocument]:
    """Read the documents of a text; each entry of a list is a document."""
    if file.endswith(".json"):
        return _load_json(file, text)
    return _load_yaml(file, text)


def _expand(path: Path) -> Iterator[Path]:
    if not path.is_dir():
        yield path
        return
    for file in sorted(path.iterdir()):
        if file.suffix in SUFFIXES:
            yield file


def _load_json(file: str, text: str) -> list[RawDocument]:
    try:
        value = json.loads(text, object_pairs_hook=_unique)
    except json.JSONDecodeError as exc:
        raise _UnreadableFile(_file_fault(file, exc.lineno, exc.msg))
    except ValueError as exc:
        raise _UnreadableFile(_file_fault(file, 1, str(exc)))
    entries = value if isinstance(value, list) else [value]
    return [RawDocument(Source(file, 1), entry) for entry in entries]


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    for key, value in pairs:
        if key in fields:
            raise ValueError(f'field "{key}" is given twice')
        fields[key] = value
    return fields


def _load_yaml(file: str, text: str) -> list[RawDocument]:
    loader = _Loader(text)
    documents = []
    try:
        while loader.check_node():
            node = loader.get_node()
            for part in _entries(node):
                line = part.start_mark.line + 1
                content = loader.construct_document(part)
                documents.append(RawDocument(Source(file, line), content))
    except yaml.MarkedYAMLError as exc:
        mark = exc.problem_mark
        line = 0 if mark is None else mark.line + 1
        raise _UnreadableFile(_file_fault(file, line, str(exc.problem)))
    except yaml.YAMLError as exc:
        raise _UnreadableFile(_file_fault(file, 0, str(exc)))
    finally:
        loader.dispose()
    return [doc for doc in documents if doc.content is not None]


def _entries(node: Any) -> list[Any]:
    if isinstance(node, yaml.SequenceNode):
        return list(node.value)
    return [node]


def _file_fault(file: str, line: int, problem: str) -> Fault:
    return Fault(file, line, "", "", problem, "")


class _UnreadableFile(Exception):
    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.text())
        self.fault = fault


__all__ = ["LoadResult", "RawDocument", "load_files", "load_text"]
