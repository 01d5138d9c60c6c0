"""Which revision each replica holds and brings into force."""
