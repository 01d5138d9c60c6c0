"""Requests that end back ends, in virtual time."""
