#!/bin/sh
# The stand-ins of the cases are Python programs of the standard library: there is nothing to
# install. They are compiled once, so that a mistake in one of them shows here.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q common 1 2 3
