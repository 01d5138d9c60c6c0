"""Reports of the stages that revisions reach, as log events and metrics."""

from __future__ import annotations

from typing import Any

from pewtertack.core.configuration.resolved import ResolvedConfiguration
from pewtertack.core.effects import Effect, Log, StageReached
from pewtertack.core.history import in_force_fields
from pewtertack.core.replication.stages import DeliveryChannel, RevisionStages, Stage, StageLog
from pewtertack.core.revision import RevisionId
from pewtertack.events import Event


class StageReports:
    """Maintains the log of stages and returns the effects that report them."""

    __slots__ = ("log",)

    def __init__(self) -> None:
        self.log = StageLog()

    def on_reported(self, now: float, peer: str, revision: RevisionId) -> list[Effect]:
        """Record that a peer reported a revision."""
        if not self.log.record_reported(now, revision.number):
            return []
        return [Log(Event.REVISION_HEARD, {**_fields_of(revision), "peer": peer})]

    def on_held(
        self, now: float, number: int, channel: DeliveryChannel, logged: list[Effect]
    ) -> list[Effect]:
        """Record that a revision is held, and add stage fields to its ``logged`` event."""
        stages = self.log.record_held(now, number, channel)
        for effect in logged:
            if isinstance(effect, Log) and effect.event is Event.REVISION_HELD:
                effect.fields.update(_stage_fields(stages, Stage.HELD))
        return [_reached(stages, Stage.HELD)]

    def on_committed(self, now: float, revision: RevisionId) -> list[Effect]:
        """Record that a revision is committed."""
        stages = self.log.record_committed(now, revision.number)
        fields = {**_fields_of(revision), **_stage_fields(stages, Stage.COMMITTED)}
        return [Log(Event.REVISION_COMMITTED, fields), _reached(stages, Stage.COMMITTED)]

    def on_in_force(self, now: float, configuration: ResolvedConfiguration) -> list[Effect]:
        """Record that a configuration came into force."""
        stages = self.log.record_in_force(now, configuration.revision.number)
        fields = {**in_force_fields(configuration), **_stage_fields(stages, Stage.IN_FORCE)}
        return [Log(Event.REVISION_IN_FORCE, fields), _reached(stages, Stage.IN_FORCE)]


def _fields_of(revision: RevisionId) -> dict[str, Any]:
    return {"revision": revision.number, "digest": revision.digest.hex()}


def _stage_fields(stages: RevisionStages, stage: Stage) -> dict[str, Any]:
    return {"way": stages.channel.value, "since_heard": round(stages.seconds_to(stage), 3)}


def _reached(stages: RevisionStages, stage: Stage) -> StageReached:
    return StageReached(stage, stages.channel, stages.seconds_to(stage))
