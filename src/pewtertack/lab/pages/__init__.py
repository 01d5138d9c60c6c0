"""Pages with tables and plots, made from the reports of runs."""
