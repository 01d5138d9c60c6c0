"""Returns of the platform's store from older copies, in series, against real nodes."""
