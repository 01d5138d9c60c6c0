"""The typer application; each command group is another module of this package.

The modules import their implementations inside functions, so that ``pewtertack node`` does not
load the lab and ``pewtertack check`` does not load the daemon.
"""

from __future__ import annotations

import typer

from pewtertack.cli import (
    lab,
    lab_convergence,
    lab_cost,
    lab_depth,
    lab_exchanges,
    lab_mesh,
    lab_operator,
    lab_restores,
    lab_scale,
    lab_simulations,
    lab_slow_source,
    lab_soak,
    lab_verification,
    policies,
    rollout,
    status,
    trace,
    tree,
)

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


PASS_THROUGH = {"allow_extra_args": True, "ignore_unknown_options": True}


@app.command(context_settings=PASS_THROUGH, add_help_option=False)
def node(context: typer.Context) -> None:
    """Run one node until it receives a stop signal (see ``pewtertack node --help``)."""
    from pewtertack.cli.node import run

    raise typer.Exit(run(context.args))


app.command("status")(status.status)
app.command("rollout")(rollout.rollout)
app.command("check")(tree.check)
app.command("trace")(trace.trace)
app.command("explain")(tree.explain)
app.command("diff")(tree.diff)
app.command("policies")(policies.policies)
lab.app.command("check")(lab_verification.check)
lab.app.command("explore")(lab_verification.explore)
lab.app.command("node-cost")(lab_cost.node_cost)
lab.app.command("request-cost")(lab_cost.request_cost)
lab.app.command("parts")(lab_cost.parts)
lab.app.command("cost-caller", hidden=True)(lab_cost.cost_caller)
lab.app.command("crashes")(lab_simulations.crashes)
lab.app.command("overload")(lab_simulations.overload)
lab.app.command("depth")(lab_depth.depth)
lab.app.command("depth-latency")(lab_depth.depth_latency)
lab.app.command("scale")(lab_scale.scale)
lab.app.command("report")(lab_scale.report)
lab.app.command("soak")(lab_soak.soak)
lab.app.command("soak-callers", hidden=True)(lab_soak.soak_callers)
lab.app.command("returns")(lab_restores.returns)
lab.app.command("operator")(lab_operator.operator)
lab.app.command("convergence")(lab_convergence.convergence)
lab.app.command("mesh")(lab_mesh.mesh)
lab.app.command("exchanges")(lab_exchanges.exchanges)
lab.app.command("slow-source")(lab_slow_source.slow_source)
lab.app.command("store-node", hidden=True)(lab_restores.store_node)
app.add_typer(lab.app, name="lab")
