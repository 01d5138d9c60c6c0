"""How soon a change is in force everywhere while the source of configuration is slow."""
