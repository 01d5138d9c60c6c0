"""One caller's request from its head to the end of its answer."""

from __future__ import annotations

from collections.abc import AsyncIterator

import httpcore

from pewtertack.core.configuration.resolved import ResolvedConfiguration, ResolvedRoute
from pewtertack.node.proxy.answers import Receive, Scope, Send
from pewtertack.node.proxy.headers import (
    REQUEST_ID,
    AnswerHead,
    RawHeaders,
    RequestHead,
    deadline_header,
    forwarded_headers,
    read_answer,
)
from pewtertack.node.proxy.upstream import BackendConnection
from pewtertack.routing.outcomes import (
    BackendFailedError,
    BackendShedError,
    CrossedAnswerError,
    InvalidRequestError,
    RequestFailedError,
)

NO_BODY_STATUSES = frozenset({204, 304})


class CallerGoneError(Exception):
    """The caller closed its connection while its request was read."""


class TruncatedAnswerError(Exception):
    """The back end's answer broke off after its head was passed on."""


class Exchange:
    """Carries one request over one connection at a time."""

    def __init__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        head: RequestHead,
        configuration: ResolvedConfiguration,
        route: ResolvedRoute,
    ) -> None:
        self.head = head
        self.started = False
        """Whether the head of the answer has been passed to the caller."""
        self._scope = scope
        self._receive = receive
        self._send = send
        self._headers = forwarded_headers(scope["headers"], head, configuration, route)

    async def attempt(
        self, connection: BackendConnection, now: float, deadline: float
    ) -> AnswerHead:
        """Run one attempt and pass the answer on.

        Raises:
            RequestFailedError: the attempt ended before its answer began.
            TruncatedAnswerError: it broke off after the answer's head was passed on.
            CallerGoneError: the caller has gone.
        """
        request = self._request(connection, [*self._headers, deadline_header(now, deadline)])
        try:
            response = await connection.exchange(request)
        except httpcore.LocalProtocolError as error:
            raise InvalidRequestError(str(error)) from error
        except (httpcore.ProtocolError, httpcore.NetworkError) as error:
            raise BackendFailedError(f"the exchange broke: {error}") from error
        answer = read_answer(response.headers)
        try:
            self._check(response, answer)
        except RequestFailedError:
            await connection.close()
            raise
        await self._relay(response, answer)
        return answer

    def _request(self, connection: BackendConnection, headers: RawHeaders) -> httpcore.Request:
        target = self._scope["raw_path"]
        if self._scope["query_string"]:
            target += b"?" + self._scope["query_string"]
        origin = connection.origin
        url = httpcore.URL(scheme="http", host=origin.host, port=origin.port, target=target)
        return httpcore.Request(
            self._scope["method"], url, headers=headers, content=self._request_body()
        )

    async def _request_body(self) -> AsyncIterator[bytes]:
        more = self.head.has_body
        while more:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CallerGoneError
            more = message.get("more_body", False)
            if message["body"]:
                yield message["body"]

    def _check(self, response: httpcore.Response, answer: AnswerHead) -> None:
        if answer.request_id is not None and answer.request_id != self.head.request_id:
            raise CrossedAnswerError("the back end answered another request")
        if response.status == 503 and answer.outcome == "not-run":
            raise BackendShedError("the back end did not run the request")
        bodiless = self._scope["method"] == "HEAD" or response.status in NO_BODY_STATUSES
        if not (answer.framed or bodiless):
            raise BackendFailedError("the end of the back end's answer cannot be told")

    async def _relay(self, response: httpcore.Response, answer: AnswerHead) -> None:
        headers = [*answer.headers, (REQUEST_ID, self.head.request_id.encode())]
        if response.status in NO_BODY_STATUSES:
            headers = [item for item in headers if item[0] != b"content-length"]
        self.started = True
        await self._send(
            {"type": "http.response.start", "status": response.status, "headers": headers}
        )
        try:
            async for chunk in response.aiter_stream():
                body = {"type": "http.response.body", "body": chunk, "more_body": True}
                await self._send(body)
        except (httpcore.ProtocolError, httpcore.NetworkError) as error:
            raise TruncatedAnswerError(str(error)) from error
        await response.aclose()
        await self._send({"type": "http.response.body", "body": b""})
