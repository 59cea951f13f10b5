"""Commands that query a running gateway at its operators' address."""

import json
import socket
import sys
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from gaproute.cli.common import ExitCode, JsonObject, fail, json_option, show_table
from gaproute.loop.addresses import parse_address

TIMEOUT = 5  # seconds
STATUS_COUNTS = ("taken", "delivered", "declined", "scrapped", "left")  # as the gateway names them

at_option = click.option("--at", "where", required=True, help="Its `listen operator` address.")


def ask(where: str, path: bytes) -> Any:
    """The answer of a gateway at the path of its operators' address; ends the command if none comes."""
    try:
        return json.loads(_get(where, path))
    except (OSError, ValueError) as error:
        fail(f"no gateway answers at {where}: {error}", ExitCode.IMPOSSIBLE)


def _get(where: str, path: bytes) -> bytes:
    """The body of an answer. Errors: OSError."""
    family, target = parse_address(where)
    with socket.socket(family, socket.SOCK_STREAM) as sock:
        sock.settimeout(TIMEOUT)
        sock.connect(target)
        sock.sendall(b"GET %s HTTP/1.1\r\nHost: operator\r\nConnection: close\r\n\r\n" % path)
        with sock.makefile("rb") as answer:
            head, _, body = answer.read().partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        raise OSError(head.partition(b"\r\n")[0].decode() or "no answer")
    return body


def list_objects(
    where: str,
    path: bytes,
    columns: Sequence[str],
    cells: Callable[[JsonObject], Iterable[str]],
    *,
    as_json: bool,
) -> None:
    """Prints the objects at the path: as JSON, or as a row of `cells` for each object."""
    objects = ask(where, path)
    if as_json:
        click.echo(json.dumps(objects))
    else:
        show_table(columns, map(cells, objects))


@click.command()
@at_option
@json_option
def status(where: str, *, as_json: bool) -> None:
    """What a running gateway holds and has answered. Exits 1 where it is not ready."""
    answer = ask(where, b"/status")
    if as_json:
        click.echo(json.dumps(answer))
    else:
        click.echo(_summary(answer))
        Console().print(_counts_table(answer["counts"]))
    sys.exit(ExitCode.OK if answer["ready"] else ExitCode.NOT_WELL)


def _summary(answer: JsonObject) -> str:
    return (
        f"{answer['name']}: {_state(answer)}, up {answer['up_ms'] / 1000:.0f} s, {answer['held']} tasks held"
    )


def _state(answer: JsonObject) -> str:
    if answer["stopping"]:
        return "stopping"
    return "ready" if answer["ready"] else "not ready: no active host"


def _counts_table(counts: JsonObject) -> Table:
    table = Table()
    table.add_column("track", justify="left")
    for column in STATUS_COUNTS:
        table.add_column(column, justify="right")
    for name in sorted(counts.get("taken", {})):
        table.add_row(name, *(str(counts.get(what, {}).get(name, 0)) for what in STATUS_COUNTS))
    return table


@click.command()
@at_option
@json_option
def hosts(where: str, *, as_json: bool) -> None:
    """The hosts that a running gateway knows."""
    columns = ("host", "address", "state", "capacity", "connections", "relays by outcome")
    list_objects(where, b"/hosts", columns, _host_cells, as_json=as_json)


def _host_cells(host: JsonObject) -> tuple[str, ...]:
    return (
        host["name"],
        host["address"],
        host["state"],
        f"{host['capacity']:g}",
        str(host["connections"]),
        ", ".join(f"{name} {count}" for name, count in host["relays"].items()),
    )


@click.command()
@at_option
@json_option
def knows(where: str, *, as_json: bool) -> None:
    """The copies that a running gateway believes to stand, the latest use first."""
    columns = ("host", "function", "last use", "known by")
    list_objects(where, b"/knows", columns, _instance_cells, as_json=as_json)


def _instance_cells(instance: JsonObject) -> tuple[str, ...]:
    return (
        instance["worker"],
        instance["function"],
        f"{instance['age_ms'] / 1000:.1f} s ago",
        instance["by"] if instance["tried"] else f"{instance['by']}, not yet tried",
    )


@click.command()
@at_option
@json_option
def peers(where: str, *, as_json: bool) -> None:
    """The other gateways that a running one knows: who is up, and what each told at the start."""
    columns = ("gateway", "address", "state", "for", "last heard", "told at the start")
    list_objects(where, b"/peers", columns, _peer_cells, as_json=as_json)


def _peer_cells(peer: JsonObject) -> tuple[str, ...]:
    heard = peer.get("heard_ms")
    return (
        peer["name"],
        peer.get("where", ""),
        peer["state"] or "",
        f"{peer['since_ms'] / 1000:.0f} s" if "since_ms" in peer else "",
        f"{heard / 1000:.1f} s ago" if heard is not None else "never",
        peer["learnt"] or "not asked",
    )
