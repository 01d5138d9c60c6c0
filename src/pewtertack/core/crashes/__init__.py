"""Tracking of requests that back ends were executing when they crashed."""
