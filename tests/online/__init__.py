"""Tests of the course of online requests."""
