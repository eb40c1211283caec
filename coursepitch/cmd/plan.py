"""Command that shows what placement would do and why."""

from __future__ import annotations

import dataclasses
import json
from pathlib import Path
from typing import Any

from cleo.helpers import argument, option

from coursepitch.cmd.admin_client import ADMIN_OPTIONS, AdminClient, AdminError
from coursepitch.cmd.base import BaseCommand
from coursepitch.config.settings import PlacementSettings
from coursepitch.control.placement import fleet_from_dict, plan_placement

__all__ = ['PlanCommand']


class PlanCommand(BaseCommand):
    """Show the plan for a recorded state, or for the present one."""

    name = 'plan'
    description = 'Show what placement would do, what it rejected, and why.'
    arguments = [  # noqa: RUF012
        argument('state', 'JSON file with a recorded state', optional=True)
    ]
    options = [  # noqa: RUF012
        *ADMIN_OPTIONS,
        option('record', None, 'Write the present state to this file', flag=False),
        option('downtime-weight', None, 'Weight for a recorded state', flag=False),
        option('stranded-weight', None, 'Weight for a recorded state', flag=False),
    ]

    def work(self) -> int:
        """Print the plan."""
        data = self._plan_file() if self.argument('state') else self._ask_node()
        self.print_raw(f'objective {data["before"]:.2f} -> {data["after"]:.2f}')
        for title in ('steps', 'rejected'):
            self.print_raw(f'{title}:')
            for item in data[title]:
                self.print_raw(f'  {write_candidate(item)}')
        return 0

    def _ask_node(self) -> dict[str, Any]:
        data = AdminClient(self).call('GET', '/apis/v1/plan')
        target = self.option('record')
        if target:
            Path(target).write_text(json.dumps(data['state'], indent=2) + '\n')
        return data

    def _plan_file(self) -> dict[str, Any]:
        try:
            state = json.loads(Path(self.argument('state')).read_text(encoding='utf-8'))
        except (OSError, ValueError) as error:
            raise AdminError(f'{self.argument("state")}: {error}') from error
        weights = PlacementSettings()
        downtime = self.option('downtime-weight')
        if downtime is not None:
            weights = dataclasses.replace(weights, downtime_weight=float(downtime))
        stranded = self.option('stranded-weight')
        if stranded is not None:
            weights = dataclasses.replace(weights, stranded_weight=float(stranded))
        plan = plan_placement(fleet_from_dict(state), weights)
        return dataclasses.asdict(plan)


def write_candidate(item: dict[str, Any]) -> str:
    """Return a step as a line of text."""
    what = ', '.join(item['instances']) or item['replica']
    return (
        f'{item["action"]} {item["group"]} in {item["domain"]}: {what} '
        f'(objective {item["objective"]:.2f}; {item["why"]})'
    )
