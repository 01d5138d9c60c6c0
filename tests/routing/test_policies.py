"""The registry of policies, and the settings that choose among them."""

from __future__ import annotations

import unittest

import msgspec

from pewtertack.routing.policies import REGISTRY, Policies, PolicyKind, all_policies


class PoliciesTest(unittest.TestCase):
    def test_every_kind_is_a_setting(self) -> None:
        settings = {field.name for field in msgspec.structs.fields(Policies)}
        self.assertEqual(settings, {kind.value for kind in PolicyKind})

    def test_every_registered_policy_can_be_chosen(self) -> None:
        all_policies()
        for kind, name in REGISTRY:
            chosen = msgspec.convert({kind.value: name}, Policies)
            self.assertEqual(getattr(chosen, kind.value), name)


if __name__ == "__main__":
    unittest.main()
