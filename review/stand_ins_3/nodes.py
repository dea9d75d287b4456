"""Start and stop the instances, with the settings that the platform writes."""

import asyncio
import json
import os
import re
import signal
import subprocess
import tomllib
from pathlib import Path
from types import MappingProxyType

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = ROOT / 'deploy' / 'system.toml'
POLL_SECONDS = 0.02
BOUNDS_BY_NAME = MappingProxyType(
    {
        'seed_lag_s': 3,
        'addr_reuse_s': 2,
        'contact_ms': 4000,
        'ack_ms': 5000,
        'catch_up_s': 4,
        'drain_ms': 3000,
        'grace_s': 6,
        'loss_slack_ms': 200,
        'config_apply_ms': 3000,
        'rollback_slack_ms': 250,
        'max_stretch_ms': 12000,
        'warmup_overage': 1.5,
        'warmup_slack': 5,
        'evac_ms': 5000,
        'recovery_s': 12,
        'reorder_ms': 2000,
        'max_flow_s': 60,
    }
)
_SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_FIELD = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')


class Node:
    """Hold one instance.

    `seeds` are the seeds in its settings, those of the world if None.
    """

    __slots__ = (
        'address',
        'in_rotation',
        'misses',
        'name',
        'process',
        'seeds',
        'world',
        'zone',
    )

    def __init__(self, world, name, zone, address):
        """Set what its settings name."""
        self.world = world
        self.name = name
        self.zone = zone
        self.address = address
        self.process = None
        self.in_rotation = False
        self.misses = 0
        self.seeds = None


def start_node(node):
    """Write the settings of an instance, and start it as the platform does."""
    write_settings(node)
    role = _read_role()
    environment = {
        name: os.environ[name]
        for name in ('PATH', 'HOME', 'LANG')
        if name in os.environ
    }
    environment['MARLBEND_BOOT'] = str(_settings_path(node))
    environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
    environment['PYTHONDONTWRITEBYTECODE'] = '1'
    with open(node.world.folder / f'{node.name}.log', 'ab') as log:
        node.process = subprocess.Popen(
            role['run'].split(),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
    node.world.record.note(f'{node.name} starts')


def write_settings(node):
    """Write the settings file, as at a start or when the settings change."""
    world = node.world
    fields = {
        'node_name': node.name,
        'role': 'instance',
        'ip': node.address,
        'zone': node.zone,
        'seeds': world.seeds if node.seeds is None else node.seeds,
        'listen': {
            'data_addr': world.join_port(node.address, 'data'),
            'ready_addr': world.join_port(node.address, 'ready'),
            'control_plane': world.join_port(node.address, 'control'),
        },
        'limits': {'cpu_share': 1.0, 'link_mbps': 1000.0},
        'bounds': dict(BOUNDS_BY_NAME),
        'platform': {'address': world.store_address(node)},
    }
    template = (ROOT / _read_role()['template']).read_text()
    written = _settings_path(node).with_suffix('.new')
    written.write_text(_render(template, fields))
    written.replace(_settings_path(node))


def send_signal(node, number):
    """Send a signal to the process of an instance, if it runs."""
    if node.process is not None and node.process.poll() is None:
        node.process.send_signal(number)
        signal_name = signal.Signals(number).name
        node.world.record.note(f'{node.name} gets {signal_name}')


async def wait_ended(node):
    """Wait until the process of an instance has ended."""
    while node.process.poll() is None:
        await asyncio.sleep(POLL_SECONDS)
    node.world.record.note(f'{node.name} ended')


async def restart_node(node):
    """Stop an instance in the planned way, and start it again."""
    send_signal(node, signal.SIGTERM)
    await wait_ended(node)
    start_node(node)


def end_nodes(nodes):
    """End all processes that were started."""
    started = [node for node in nodes if node.process is not None]
    for node in started:
        if node.process.poll() is None:
            node.process.kill()
    for node in started:
        node.process.wait()


def _settings_path(node):
    return node.world.folder / f'{node.name}.settings'


def _read_role():
    with open(DEPLOY, 'rb') as deploy:
        return tomllib.load(deploy)['roles']['instance']


def _render(template, fields):
    """Fill in a settings template as the platform does."""

    def render_section(matched):
        return matched.group(2) if _find(fields, matched.group(1)) else ''

    def render_field(matched):
        found = _find(fields, matched.group(1))
        return json.dumps(found) if matched.group(2) else str(found)

    return _FIELD.sub(render_field, _SECTION.sub(render_section, template))


def _find(fields, name):
    found = fields
    for part in name.split('.'):
        found = found.get(part) if isinstance(found, dict) else None
    return found
