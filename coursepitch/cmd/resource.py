"""Commands on resources: apply, get, delete, watch, status."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

from cleo.helpers import argument, option

from coursepitch.cmd.admin_client import ADMIN_OPTIONS, AdminClient, AdminError
from coursepitch.cmd.base import BaseCommand
from coursepitch.config.history import pack_spec
from coursepitch.config.options import read_ini
from coursepitch.config.resources import check_resources

__all__ = [
    'ApplyCommand',
    'DeleteCommand',
    'GetCommand',
    'StatusCommand',
    'WatchCommand',
]

#: Seconds between two looks while a command waits.
LOOK_S = 0.3


class ApplyCommand(BaseCommand):
    """Write the resources of files; unchanged ones stay as they are."""

    name = 'apply'
    description = 'Write the resources of INI files.'
    arguments = [argument('files', 'INI files', multiple=True)]  # noqa: RUF012
    options = [  # noqa: RUF012
        *ADMIN_OPTIONS,
        option('resource-version', None, 'Version that must be the newest', flag=False),
        option('wait', 'w', 'Wait so many seconds for convergence', flag=False),
    ]

    def work(self) -> int:
        """Check all files first, then write."""
        resources = []
        for name in self.argument('files'):
            resources += check_resources(read_ini(Path(name)))
        client = AdminClient(self)
        version = self.option('resource-version')
        for key, spec in resources:
            body: dict[str, Any] = {'spec': pack_spec(spec)}
            if version is not None:
                body['resource_version'] = int(version)
            path = f'/apis/v1/{key.kind}/{key.name}'
            data = client.call('PUT', path, json=body)
            self.print_raw(f'{key}: resource version {data["resource_version"]}')
        if self.option('wait'):
            names = [(key.kind, key.name) for key, _ in resources]
            wait_converged(client, names, float(self.option('wait')))
            self.print_raw('converged')
        return 0


def wait_converged(
    client: AdminClient, names: list[tuple[str, str]], limit_s: float
) -> None:
    """Wait until every condition of some resources holds.

    :raises AdminError: they did not converge in time, with what is missing.
    """
    deadline = time.monotonic() + limit_s
    while True:
        missing = []
        for kind, name in names:
            data = client.call('GET', f'/apis/v1/{kind}/{name}')
            missing += [
                f'{kind} {name}: {item["type"]}: {item["reason"]}'
                for item in data['status']['conditions']
                if not item['status']
            ]
        if not missing:
            return
        if time.monotonic() > deadline:
            raise AdminError('not converged\n' + '\n'.join(missing))
        time.sleep(LOOK_S)


class GetCommand(BaseCommand):
    """Print resources with their status as JSON."""

    name = 'get'
    description = 'Print resources of a kind, or one.'
    arguments = [  # noqa: RUF012
        argument('kind', 'group, customer, caller, service or node'),
        argument('name', 'Name of the resource', optional=True),
    ]
    options = ADMIN_OPTIONS

    def work(self) -> int:
        """Print what is there."""
        client = AdminClient(self)
        path = f'/apis/v1/{self.argument("kind")}'
        if self.argument('name'):
            path += f'/{self.argument("name")}'
        self.print_raw(json.dumps(client.call('GET', path), indent=2))
        return 0


class DeleteCommand(BaseCommand):
    """Delete a resource."""

    name = 'delete'
    description = 'Delete a resource.'
    arguments = [argument('kind', 'Kind'), argument('name', 'Name')]  # noqa: RUF012
    options = [  # noqa: RUF012
        *ADMIN_OPTIONS,
        option('resource-version', None, 'Version that must be the newest', flag=False),
    ]

    def work(self) -> int:
        """Delete it."""
        path = f'/apis/v1/{self.argument("kind")}/{self.argument("name")}'
        version = self.option('resource-version')
        params = {} if version is None else {'resource_version': version}
        data = AdminClient(self).call('DELETE', path, params=params)
        self.print_raw(f'deleted {data["deleted"]}')
        return 0


class WatchCommand(BaseCommand):
    """Print changes as JSON lines as they come."""

    name = 'watch'
    description = 'Print changes of the configuration from a revision on.'
    options = [  # noqa: RUF012
        *ADMIN_OPTIONS,
        option('after', None, 'Revision after which to begin', flag=False, default='0'),
        option('count', None, 'End after so many changes', flag=False),
    ]

    def work(self) -> int:
        """Print until interrupted or the count is reached."""
        client = AdminClient(self)
        after = int(self.option('after'))
        left = int(self.option('count') or 0)
        while True:
            data = client.call('GET', '/apis/v1/watch', params={'after': after})
            for change in data['changes']:
                self.print_raw(json.dumps(change))
                left -= 1
                if left == 0:
                    return 0
            after = data['revision']


class StatusCommand(BaseCommand):
    """Print what a node knows, how old it is, and all groups."""

    name = 'status'
    description = 'Print the status of a node and of the groups.'
    options = [*ADMIN_OPTIONS, option('json', None, 'Print JSON.', flag=True)]  # noqa: RUF012

    def work(self) -> int:
        """Print the status."""
        client = AdminClient(self)
        node = client.call('GET', '/apis/v1/status')
        groups = client.call('GET', '/apis/v1/group')['items']
        if self.option('json'):
            self.print_raw(json.dumps({'node': node, 'groups': groups}, indent=2))
            return 0
        for line in write_status(node, groups):
            self.print_raw(line)
        return 0


def write_status(node: dict[str, Any], groups: list[dict[str, Any]]) -> list[str]:
    """Return the status as lines of text."""
    age = node['service_contact_age_s']
    contact = 'never' if age is None else f'{age} s ago'
    lines = [
        f'node {node["node"]}: serves {node["serves"]}, '
        f'service answers {node["service_answers"]}',
        f'  revision {node["revision"]}, accepted {node["accepted"]}, '
        f'service confirmed {contact}, links {node["links"]}',
    ]
    if node['waiting_for']:
        lines.append(f'  acceptance waits for {", ".join(node["waiting_for"])}')
    for item in node['nodes']:
        lines.append(
            f'  node {item["name"]}: in force {item["in_force"]}, '
            f'ready {item["ready"]}, heard {item["heard_age_s"]} s ago'
        )
    for group in groups:
        lines.append(f'group {group["name"]} generation {group["generation"]}')
        for item in group['status']['conditions']:
            mark = 'yes' if item['status'] else 'NO'
            lines.append(f'  {item["type"]}: {mark} ({item["reason"]})')
        for item in group['status']['replicas']:
            missing = f' missing {item["missing"]}' if item['missing'] else ''
            lines.append(
                f'  replica {item["name"]} {item["state"]} '
                f'version {item["version"]} in {item["domain"]}: '
                f'{", ".join(item["instances"])}{missing} '
                f'(evidence {item["evidence_age_s"]} s old)'
            )
    return lines
