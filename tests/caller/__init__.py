"""Tests of the HTTP interface towards callers."""
