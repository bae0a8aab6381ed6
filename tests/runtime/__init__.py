"""Tests of what every program shares."""
