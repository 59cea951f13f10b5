"""Commands that ask a running gateway at its operator address."""

import json
import socket
import sys

import click
from rich.console import Console
from rich.table import Table

from gaproute.cli.common import json_option, show_table
from gaproute.loop.streams import address

at_option = click.option("--at", "where", required=True, help="Its `listen operator` address.")


def ask(where, path):
    """One question to a gateway's operator address; exits 3 where nobody answers."""
    family, target = address(where)
    try:
        with socket.socket(family, socket.SOCK_STREAM) as sock:
            sock.settimeout(5)
            sock.connect(target)
            sock.sendall(b"GET %s HTTP/1.1\r\nHost: operator\r\nConnection: close\r\n\r\n" % path)
            with sock.makefile("rb") as answer:
                head, _, body = answer.read().partition(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            raise OSError(head.partition(b"\r\n")[0].decode() or "no answer")
        return json.loads(body)
    except (OSError, ValueError) as fault:
        click.echo(f"no gateway answers at {where}: {fault}", err=True)
        sys.exit(3)


def listing(where, path, as_json, columns, cells):
    """What the operator address tells at the path: as JSON, or a row of `cells(each)` for each."""
    told = ask(where, path)
    if as_json:
        click.echo(json.dumps(told))
    else:
        show_table(columns, map(cells, told))


@click.command()
@at_option
@json_option
def status(where, as_json):
    """What a running gateway holds and has answered. Exits 1 where it is not ready."""
    told = ask(where, b"/status")
    if as_json:
        click.echo(json.dumps(told))
    else:
        state = "stopping" if told["stopping"] else "ready" if told["ready"] else "not ready: no active host"
        click.echo(f"{told['name']}: {state}, up {told['up_ms'] / 1000:.0f} s, {told['held']} tasks held")
        table = Table()
        counts = told["counts"]
        for column in ("track", "taken", "delivered", "declined", "scrapped", "left"):
            table.add_column(column, justify="left" if column == "track" else "right")
        for track in sorted(counts.get("taken", {})):
            table.add_row(
                track,
                *(
                    str(counts.get(what, {}).get(track, 0))
                    for what in ("taken", "delivered", "declined", "scrapped", "left")
                ),
            )
        Console().print(table)
    sys.exit(0 if told["ready"] else 1)


@click.command()
@at_option
@json_option
def hosts(where, as_json):
    """The hosts that a running gateway knows."""
    listing(
        where,
        b"/hosts",
        as_json,
        ("host", "address", "state", "capacity", "connections", "relays by outcome"),
        lambda host: (
            host["name"],
            host["address"],
            host["state"],
            f"{host['capacity']:g}",
            str(host["connections"]),
            ", ".join(f"{name} {n}" for name, n in host["relays"].items()),
        ),
    )


@click.command()
@at_option
@json_option
def knows(where, as_json):
    """The copies that a running gateway believes to stand, the latest use first."""
    listing(
        where,
        b"/knows",
        as_json,
        ("host", "function", "last use", "known by"),
        lambda copy: (
            copy["worker"],
            copy["function"],
            f"{copy['age_ms'] / 1000:.1f} s ago",
            copy["by"] if copy["tried"] else f"{copy['by']}, not yet tried",
        ),
    )


@click.command()
@at_option
@json_option
def peers(where, as_json):
    """The other gateways that a running one knows: who is up, and what each told at the start."""

    def cells(peer):
        heard = peer.get("heard_ms")
        return (
            peer["name"],
            peer.get("where", ""),
            peer["state"] or "",
            f"{peer['since_ms'] / 1000:.0f} s" if "since_ms" in peer else "",
            f"{heard / 1000:.1f} s ago" if heard is not None else "never",
            peer["learnt"] or "not asked",
        )

    listing(
        where,
        b"/peers",
        as_json,
        ("gateway", "address", "state", "for", "last heard", "told at the start"),
        cells,
    )
