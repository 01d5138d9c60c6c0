"""The typer application; every command group is a module beside this one.

Modules of command groups import what they run inside their functions, so that
``pewtertack node`` does not load the lab and ``pewtertack check`` not the daemon.
"""

from __future__ import annotations

import typer

from pewtertack.cli import lab, lab_proofs, tree

app = typer.Typer(
    name="pewtertack",
    help="Configuration distribution for a service mesh on machines that may vanish.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)


@app.callback()
def _commands() -> None:
    """Distribute configuration to the proxies of a service mesh."""


app.command("check")(tree.check)
app.command("explain")(tree.explain)
app.command("diff")(tree.diff)
lab.app.command("check")(lab_proofs.check)
lab.app.command("explore")(lab_proofs.explore)
app.add_typer(lab.app, name="lab")
