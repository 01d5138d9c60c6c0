"""``pewtertack node``: run one node until it receives a stop signal.

This command parses its flags with argparse instead of typer: the memory of a node is limited,
and typer imports libraries that a node does not need (docs/decisions/0003-daemon.md).
"""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any, NoReturn

from pewtertack.node.start import start_node
from pewtertack.settings import SettingKey
from pewtertack.settings.errors import FlagFormatError

if TYPE_CHECKING:
    from pewtertack.node.assembly import ReaderFactory

FLAGS: dict[str, tuple[SettingKey, str]] = {
    "--name": (SettingKey("node", "name"), "this node's name"),
    "--zone": (SettingKey("node", "zone"), "its zone"),
    "--region": (SettingKey("node", "region"), "its region"),
    "--listen-proxy": (SettingKey("listen", "proxy"), "ip:port that accepts requests of callers"),
    "--listen-peer": (SettingKey("listen", "peer"), "ip:port for other nodes, UDP and TCP"),
    "--listen-admin": (SettingKey("listen", "admin"), "ip:port of the admin interface"),
    "--advertise-peer": (SettingKey("advertise", "peer"), "ip:port advertised to other nodes"),
    "--source-url": (SettingKey("source", "url"), "http://ip:port of the configuration source"),
    "--machines-url": (SettingKey("machines", "url"), "http://ip:port of the machine list"),
    "--profile": (SettingKey("profile", "name"), "timing profile: fast, frugal, direct or leased"),
    "--document-size": (
        SettingKey("limits", "document_size"),
        "size limit of a response of the platform",
    ),
    "--platform-timeout": (
        SettingKey("limits", "platform_timeout"),
        "time limit for a response of the platform",
    ),
    "--stream-timeout": (
        SettingKey("limits", "stream_timeout"),
        "time limit for one peer frame over TCP",
    ),
    "--streams": (
        SettingKey("limits", "streams"),
        "maximum number of concurrent peer frames over TCP",
    ),
    "--keep-alive": (
        SettingKey("limits", "keep_alive"),
        "time limit for idle connections of callers",
    ),
    "--drain-timeout": (
        SettingKey("limits", "drain_timeout"),
        "time limit for requests in flight at shutdown",
    ),
    "--stop-within": (
        SettingKey("limits", "stop_within"),
        "time from the stop signal until the process is killed",
    ),
}
SEEDS = SettingKey("peers", "seeds")


class _Parser(argparse.ArgumentParser):
    """Raises a typed error instead of exiting."""

    def error(self, message: str) -> NoReturn:
        raise FlagFormatError("flag", "", message, "see pewtertack node --help")


def _make_parser() -> argparse.ArgumentParser:
    parser = _Parser(
        prog="pewtertack node",
        description="Run one node. Flags override the settings file.",
        allow_abbrev=False,
    )
    parser.add_argument("--settings", required=True, help="the settings file (TOML)")
    for flag, (key, meaning) in FLAGS.items():
        parser.add_argument(flag, dest=str(key), help=f"{meaning} ({key})")
    parser.add_argument(
        "--seed", action="append", dest=str(SEEDS), help=f"ip:port of a peer ({SEEDS}), repeatable"
    )
    return parser


def run(arguments: Sequence[str], make_reader: ReaderFactory | None = None) -> int:
    """Run a node with the given command-line arguments and return its exit code.

    ``make_reader`` replaces the reader for pewtertack's own source interface.

    Raises:
        SettingError: a flag or the settings file is invalid.
    """
    parsed = vars(_make_parser().parse_args(arguments))
    path: str = parsed.pop("settings")
    keys = [key for key, _ in FLAGS.values()] + [SEEDS]
    flags: dict[SettingKey, Any] = {
        key: parsed[str(key)] for key in keys if parsed[str(key)] is not None
    }
    return start_node(path, flags, make_reader)
