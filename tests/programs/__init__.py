"""Tests of what the programs share."""
