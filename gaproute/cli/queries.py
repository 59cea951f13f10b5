"""Commands that query a running gateway at its operators' address."""

import json
import socket
import sys
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from gaproute.cli.common import ExitCode, JsonObject, exit_with_error, json_option, show_table
from gaproute.loop.addresses import parse_address

TIMEOUT_SECONDS = 5
STATUS_COUNTS = (
    "taken",
    "delivered",
    "declined",
    "scrapped",
    "left",
)  # keys of `counts` in the status of the gateway

at_option = click.option("--at", "address", required=True, help="The gateway's `listen operator` address.")


def ask(address: str, path: bytes) -> Any:
    """The decoded answer at a path of a gateway's operators' address; ends the command if none comes."""
    try:
        return json.loads(_get(address, path))
    except (OSError, ValueError) as error:
        exit_with_error(f"no gateway answers at {address}: {error}", ExitCode.COMMAND_FAILED)


def _get(address: str, path: bytes) -> bytes:
    """The body of the answer to a GET request. Errors: OSError if there is no answer with status 200."""
    family, target = parse_address(address)
    with socket.socket(family, socket.SOCK_STREAM) as sock:
        sock.settimeout(TIMEOUT_SECONDS)
        sock.connect(target)
        sock.sendall(b"GET %s HTTP/1.1\r\nHost: operator\r\nConnection: close\r\n\r\n" % path)
        with sock.makefile("rb") as answer:
            head, _, body = answer.read().partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        raise OSError(head.partition(b"\r\n")[0].decode() or "no answer")
    return body


def list_objects(
    address: str,
    path: bytes,
    columns: Sequence[str],
    make_row: Callable[[JsonObject], Iterable[str]],
    *,
    as_json: bool,
) -> None:
    """Prints the objects at the path as JSON, or as a table with the row `make_row(object)` for each."""
    objects = ask(address, path)
    if as_json:
        click.echo(json.dumps(objects))
    else:
        show_table(columns, map(make_row, objects))


@click.command()
@at_option
@json_option
def status(address: str, *, as_json: bool) -> None:
    """Show the state and the counts of a running gateway. Exits 1 if it is not ready."""
    answer = ask(address, b"/status")
    if as_json:
        click.echo(json.dumps(answer))
    else:
        click.echo(_summary(answer))
        Console().print(_counts_table(answer["counts"]))
    sys.exit(ExitCode.OK if answer["ready"] else ExitCode.PROBLEM_FOUND)


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
def hosts(address: str, *, as_json: bool) -> None:
    """List the hosts that a running gateway knows."""
    columns = ("host", "address", "state", "capacity", "connections", "relays by outcome")
    list_objects(address, b"/hosts", columns, _host_row, as_json=as_json)


def _host_row(host: JsonObject) -> tuple[str, ...]:
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
def knows(address: str, *, as_json: bool) -> None:
    """List the instances that a running gateway expects to be warm, the most recently used first."""
    columns = ("host", "function", "last use", "known by")
    list_objects(address, b"/knows", columns, _instance_row, as_json=as_json)


def _instance_row(instance: JsonObject) -> tuple[str, ...]:
    return (
        instance["worker"],
        instance["function"],
        f"{instance['age_ms'] / 1000:.1f} s ago",
        instance["by"] if instance["tried"] else f"{instance['by']}, not yet tried",
    )


@click.command()
@at_option
@json_option
def peers(address: str, *, as_json: bool) -> None:
    """List the other gateways that a running gateway knows: their states, and what each sent at the start."""
    columns = ("gateway", "address", "state", "for", "last heard", "told at the start")
    list_objects(address, b"/peers", columns, _peer_row, as_json=as_json)


def _peer_row(peer: JsonObject) -> tuple[str, ...]:
    heard = peer.get("heard_ms")
    return (
        peer["name"],
        peer.get("where", ""),
        peer["state"] or "",
        f"{peer['since_ms'] / 1000:.0f} s" if "since_ms" in peer else "",
        f"{heard / 1000:.1f} s ago" if heard is not None else "never",
        peer["learnt"] or "not asked",
    )
