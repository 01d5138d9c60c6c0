"""Reading, judging and writing the histories of concurrent runs."""
