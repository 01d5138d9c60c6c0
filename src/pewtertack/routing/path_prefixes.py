"""Which path prefixes of routes match a request's path.

Paths are in the form of ``percent.decode_segments``: only escaped slashes and percent signs are
still escaped, so an escaped slash separates no segments. Prefixes are in that form too, without a
final slash; the prefix "" matches every path that begins with a slash.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain

from pewtertack.routing.policies import PolicyKind, RoutePrefixPolicy, policy


@policy(
    PolicyKind.PREFIXES,
    RoutePrefixPolicy.SEGMENTS,
    "A prefix matches the path that equals it, and all paths below it.",
)
def segment_prefixes(path: str) -> Iterator[str]:
    """Return the prefixes that match ``path``, the longest first."""
    is_server_wide = path[:1] != "/"  # the target of OPTIONS *
    return chain((path,), prefixes_below(path), ("",) if is_server_wide else ())


@policy(
    PolicyKind.PREFIXES,
    RoutePrefixPolicy.BELOW,
    "A prefix matches the paths that begin with it and a slash.",
)
def prefixes_below(path: str) -> Iterator[str]:
    """Yield the prefixes that match ``path``, the longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[:end]
        end = path.rfind("/", 0, end)


PREFIX_POLICIES = {
    RoutePrefixPolicy.SEGMENTS: segment_prefixes,
    RoutePrefixPolicy.BELOW: prefixes_below,
}
