"""The configuration tree of the operators: validation, resolution and comparison."""
