"""Pewtertack: configuration distribution for a service mesh on machines that may vanish."""

__version__ = "0.1.0"
