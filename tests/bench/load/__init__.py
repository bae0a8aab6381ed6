"""Tests of load generators."""
