"""Markdown pages with tables and plots, generated from reports of runs."""
