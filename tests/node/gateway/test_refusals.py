"""Refusals of a gateway, as the node that sent the request takes them."""

import unittest

from pewtertack.node.gateway.application import GatewayApplication
from pewtertack.node.gateway.hop import FAILURE, error_from_failure
from pewtertack.node.http.refusals import RefusalReason
from pewtertack.node.proxy.headers import read_response_meta
from pewtertack.routing.outcomes import Outcome


class GatewayRefusalTest(unittest.TestCase):
    """Guards against a refusal that counts against the back end, which is ejected then."""

    def test_a_refusal_names_itself_a_failure_of_the_gateway(self) -> None:
        for reason in RefusalReason:
            for started, outcome in ((False, Outcome.NOT_RUN), (True, Outcome.UNKNOWN)):
                with self.subTest(reason, started=started):
                    head = GatewayApplication.write_refusal(reason, started).partition(b"\r\n\r\n")[
                        0
                    ]
                    status_line, *lines = head.split(b"\r\n")
                    pairs = [line.partition(b": ")[::2] for line in lines]
                    meta = read_response_meta([(name, value) for name, value in pairs])
                    self.assertIn(FAILURE, dict(pairs))
                    assert meta.failure is not None
                    status = int(status_line.split()[1])
                    self.assertIs(error_from_failure(meta.failure, status, None).outcome, outcome)
