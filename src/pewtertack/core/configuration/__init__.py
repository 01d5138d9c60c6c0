"""The operators' tree: parsing, validation, resolution and comparison."""
