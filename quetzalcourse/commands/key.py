"""``quetzalctl key``: generate, grant, withdraw and list API keys."""

from __future__ import annotations

import argparse
import secrets
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from result import Err

from quetzalcourse.commands.output import write_json, write_line, write_table
from quetzalcourse.commands.platform import open_platform
from quetzalcourse.coordination.manifest.key_change_log import KeyChangeLog
from quetzalcourse.coordination.manifest.keys import KEY_SEPARATOR, hash_secret
from quetzalcourse.exceptions import AbortError
from quetzalcourse.loop import run_loop
from quetzalcourse.state.keys import KeyRecord, build_tombstone, validate_record
from quetzalcourse.transport.connections import open_session

SECRET_BYTES = 24
TIMEOUT_SECONDS = 5.0
HTTP_OK = 200
OPERATOR_KEYS = '/operator/keys'


def add_parser(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser('key', help='generate and change keys')
    actions = parser.add_subparsers(metavar='ACTION', required=True)
    make = actions.add_parser('make', help='generate a key and its hash')
    make.add_argument('key_id', metavar='KEY_ID')
    make.set_defaults(run=run_make)
    grant = actions.add_parser('grant', help='grant a key to a client account')
    grant.add_argument('key_id', metavar='KEY_ID')
    grant.add_argument('--account', required=True, metavar='CLIENT_ACCOUNT')
    grant.add_argument('--sha256', required=True, metavar='HASH')
    grant.set_defaults(run=run_grant)
    withdraw = actions.add_parser('withdraw', help='withdraw a key permanently')
    withdraw.add_argument('key_id', metavar='KEY_ID')
    withdraw.set_defaults(run=run_withdraw)
    listing = actions.add_parser('list', help='list granted and withdrawn keys')
    listing.set_defaults(run=run_list)
    for action in (grant, withdraw, listing):
        _add_target(action)


def _add_target(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--platform', metavar='IP:PORT')
    parser.add_argument(
        '--daemon',
        metavar='IP:PORT',
        help='used if the platform is not given or not reachable',
    )
    parser.add_argument(
        '--operator-key-file',
        type=Path,
        metavar='FILE',
        help='file with the operator key for the daemon',
    )
    parser.add_argument('--json', action='store_true')


def run_make(options: argparse.Namespace) -> int:
    """Print a new key and the hash that grants it."""
    secret = secrets.token_urlsafe(SECRET_BYTES)
    write_json(
        {
            'key': f'{options.key_id}{KEY_SEPARATOR}{secret}',
            'sha256': hash_secret(secret),
        }
    )
    return 0


def run_grant(options: argparse.Namespace) -> int:
    """Grant a key to a client account.

    :raises AbortError: if it was withdrawn, or neither the table nor a daemon
        could be reached.
    """
    record = KeyRecord(options.key_id, options.account, options.sha256)
    return run_loop(_change(options, record))


def run_withdraw(options: argparse.Namespace) -> int:
    """Withdraw a key permanently.

    :raises AbortError: if neither the table nor a daemon could be reached.
    """
    return run_loop(_change(options, build_tombstone(options.key_id)))


def run_list(options: argparse.Namespace) -> int:
    """List granted and withdrawn keys."""
    return run_loop(_list(options))


async def _change(options: argparse.Namespace, record: KeyRecord) -> int:
    fault = validate_record(record)
    if fault:
        raise AbortError(fault)
    held = await _change_in_table(options, record)
    where = 'in the table'
    if held is None:
        held = await _change_in_daemon(options, record)
        where = f'at {options.daemon}, in the table later'
    if held.withdrawn and not record.withdrawn:
        raise AbortError(
            f'{record.key_id} was withdrawn; a new key needs a new id'
        )
    verb = 'withdrawn' if record.withdrawn else 'granted'
    if options.json:
        write_json({'key_id': record.key_id, 'state': verb, 'where': where})
    else:
        write_line(f'{record.key_id} is {verb} {where}')
    return 0


async def _change_in_table(
    options: argparse.Namespace,
    record: KeyRecord,
) -> KeyRecord | None:
    """Write a change to the table.

    :returns: the merged record of the key, ``None`` if the change has to go
        through a daemon because the table was not given or not reachable.
    """
    if not options.platform:
        return None
    async with open_platform(options.platform) as platform:
        table = KeyChangeLog(platform)
        read = await table.read_after(0)
        held = record
        if not isinstance(read, Err):
            for known in read.ok_value[1]:
                if known.key_id == record.key_id:
                    held = held.merge(known)
            if held.withdrawn and not record.withdrawn:
                return held
            written = await table.append(record)
            if not isinstance(written, Err):
                return held
            read = written
    if options.daemon:
        return None
    fault = read.err_value
    raise AbortError(f'{fault.step} at {fault.peer}: {fault.kind.value}')


async def _change_in_daemon(
    options: argparse.Namespace,
    record: KeyRecord,
) -> KeyRecord:
    content = await _ask_daemon(options, 'POST', msgspec.json.encode(record))
    return msgspec.json.decode(content, type=KeyRecord)


async def _list(options: argparse.Namespace) -> int:
    records: dict[str, KeyRecord] = {}
    for record in await _read_records(options):
        held = records.get(record.key_id)
        records[record.key_id] = held.merge(record) if held else record
    rows = [
        (
            record.key_id,
            record.client_account,
            'withdrawn' if record.withdrawn else 'granted',
        )
        for _, record in sorted(records.items())
    ]
    if options.json:
        header = ('key_id', 'client_account', 'state')
        write_json([dict(zip(header, row, strict=True)) for row in rows])
    else:
        write_table(('key', 'account', 'state'), rows)
    return 0


async def _read_records(options: argparse.Namespace) -> list[KeyRecord]:
    if options.platform:
        async with open_platform(options.platform) as platform:
            read = await KeyChangeLog(platform).read_after(0)
        if not isinstance(read, Err):
            return read.ok_value[1]
        if not options.daemon:
            fault = read.err_value
            raise AbortError(f'{fault.step} at {fault.peer}')
    content = await _ask_daemon(options, 'GET', b'')
    return msgspec.json.decode(content, type=list[KeyRecord])


async def _ask_daemon(
    options: argparse.Namespace,
    method: str,
    body: bytes,
) -> bytes:
    if not options.daemon or not options.operator_key_file:
        raise AbortError(
            'give --platform, or --daemon with --operator-key-file'
        )
    try:
        secret = options.operator_key_file.read_text().strip()
    except OSError as error:
        raise AbortError(str(error)) from error
    url = f'http://{options.daemon}{OPERATOR_KEYS}'
    headers = {'Authorization': f'Bearer {secret}'}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
    try:
        async with open_session(timeout=timeout) as session:
            async with session.request(
                method, url, data=body, headers=headers
            ) as answer:
                content = await answer.read()
    except (aiohttp.ClientError, TimeoutError) as error:
        raise AbortError(f'{options.daemon}: {error}') from error
    if answer.status != HTTP_OK:
        refusal = msgspec.json.decode(content)
        raise AbortError(f'{options.daemon}: {refusal["error"]["message"]}')
    return content
