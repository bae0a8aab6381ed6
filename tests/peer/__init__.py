"""Tests of the peer package."""
