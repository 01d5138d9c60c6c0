"""Pewtertack: configuration distribution for a service mesh on vanishing machines."""

__version__ = "0.1.0"
