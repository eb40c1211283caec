"""History of the configuration: a line of changes with one head.

The head is one value in the key-value service; replacing it by
compare-and-swap records a change, so all changes stand in one line.  It
carries the newest changes; older ones are in a snapshot.  Source: design
note ``configuration``.
"""

from __future__ import annotations

import dataclasses
import json
from dataclasses import dataclass, field
from typing import Any

from coursepitch.config.findings import Place
from coursepitch.config.resources import Key, Resource, Spec, check_resource
from coursepitch.errors import CodecError, FindingsError
from coursepitch.util.decoding import describe_error, raise_codec_errors

__all__ = [
    'Change',
    'Configuration',
    'Head',
    'apply_changes',
    'decode_head',
    'decode_snapshot',
    'encode_head',
    'encode_snapshot',
    'extend_head',
    'pack_change',
    'pack_spec',
    'unpack_change',
]

#: Changes that a head carries before a snapshot replaces the older ones.
HEAD_CHANGES = 24


@dataclass(frozen=True, slots=True)
class Change:
    """One change: a new specification, or ``None`` for a deletion.

    :param cause: action tree of the log under which it was written.
    """

    revision: int
    key: Key
    spec: Spec | None
    generation: int
    cause: str = ''


@dataclass(frozen=True, slots=True)
class Head:
    """The newest changes.

    :param revision: revision of the newest change; 0 is the empty start.
    :param floor: all changes after this revision are in ``changes``.
    """

    revision: int = 0
    floor: int = 0
    changes: tuple[Change, ...] = ()


@dataclass(frozen=True, slots=True)
class Configuration:
    """The resources at one revision."""

    revision: int = 0
    resources: dict[Key, Resource] = field(default_factory=dict)

    def of_kind(self, kind: str) -> list[Resource]:
        """Return the resources of one kind in the order of their names."""
        found = [item for key, item in self.resources.items() if key.kind == kind]
        return sorted(found, key=lambda item: item.key)


def apply_changes(
    configuration: Configuration, changes: tuple[Change, ...]
) -> Configuration:
    """Return the configuration after the changes that it does not hold yet.

    Changes at or below its revision are passed over, so that a revision
    never goes down; a gap ends the application.
    """
    resources = dict(configuration.resources)
    revision = configuration.revision
    for change in sorted(changes, key=lambda item: item.revision):
        if change.revision <= revision:
            continue
        if change.revision != revision + 1:
            break
        revision = change.revision
        if change.spec is None:
            resources.pop(change.key, None)
        else:
            resources[change.key] = Resource(
                change.key, change.spec, change.generation, revision
            )
    if revision == configuration.revision:
        return configuration
    return Configuration(revision, resources)


def extend_head(
    head: Head,
    snapshot_revision: int,
    key: Key,
    spec: Spec | None,
    generation: int,
    cause: str = '',
) -> Head:
    """Return the head with one more change.

    Changes that the snapshot holds are dropped when there are too many.
    """
    change = Change(head.revision + 1, key, spec, generation, cause)
    changes = (*head.changes, change)
    floor = head.floor
    if len(changes) > HEAD_CHANGES:
        floor = max(floor, min(snapshot_revision, head.revision))
        changes = tuple(item for item in changes if item.revision > floor)
    return Head(change.revision, floor, changes)


def pack_spec(spec: Spec) -> dict[str, Any]:
    """Return a specification as plain data."""
    return {
        name: list(value) if isinstance(value, tuple) else value
        for name, value in dataclasses.asdict(spec).items()
    }


def pack_change(change: Change) -> dict[str, Any]:
    """Return a change as plain data."""
    return {
        'revision': change.revision,
        'kind': change.key.kind,
        'name': change.key.name,
        'generation': change.generation,
        'spec': None if change.spec is None else pack_spec(change.spec),
        'cause': change.cause,
    }


def unpack_change(data: Any) -> Change:
    """Return a change from plain data.

    :raises CodecError: it is none.
    """
    with raise_codec_errors('not a change'):
        key = Key(str(data['kind']), str(data['name']))
        spec = None if data['spec'] is None else _unpack_spec(key, data['spec'])
        revision, generation = int(data['revision']), int(data['generation'])
        return Change(revision, key, spec, generation, str(data.get('cause', '')))


def _unpack_spec(key: Key, data: dict[str, Any]) -> Spec:
    place = Place('configuration', 0, str(key))
    spec, findings = check_resource(key, data, place, {})
    if spec is None:
        raise CodecError(describe_error(FindingsError(findings)))
    return spec


def encode_head(head: Head) -> str:
    """Return the head as the text kept in the key-value service."""
    changes = [pack_change(change) for change in head.changes]
    data = {'revision': head.revision, 'floor': head.floor, 'changes': changes}
    return json.dumps(data, separators=(',', ':'))


def decode_head(text: str) -> Head:
    """Return the head from its text.

    :raises CodecError: it is none.
    """
    with raise_codec_errors('not a head'):
        data = json.loads(text)
        changes = tuple(unpack_change(item) for item in data['changes'])
        return Head(int(data['revision']), int(data['floor']), changes)


def encode_snapshot(configuration: Configuration) -> str:
    """Return the whole configuration as text."""
    return json.dumps(pack_configuration(configuration), separators=(',', ':'))


def pack_configuration(configuration: Configuration) -> dict[str, Any]:
    """Return the whole configuration as plain data."""
    resources = [
        pack_change(Change(item.revision, item.key, item.spec, item.generation))
        for item in configuration.resources.values()
    ]
    return {'revision': configuration.revision, 'resources': resources}


def decode_snapshot(text: str) -> Configuration:
    """Return a configuration from its text.

    :raises CodecError: it is none.
    """
    with raise_codec_errors('not a configuration'):
        return unpack_configuration(json.loads(text))


def unpack_configuration(data: Any) -> Configuration:
    """Return a configuration from plain data.

    :raises CodecError: it is none.
    """
    with raise_codec_errors('not a configuration'):
        changes = [unpack_change(item) for item in data['resources']]
        revision = int(data['revision'])
    resources = {}
    for change in changes:
        if change.spec is not None:
            resources[change.key] = Resource(
                change.key, change.spec, change.generation, change.revision
            )
    return Configuration(revision, resources)
