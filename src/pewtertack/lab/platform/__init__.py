"""What the two stand-ins of the platform share: numbered documents read by long poll."""
