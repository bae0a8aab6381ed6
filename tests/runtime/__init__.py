"""Tests of the infrastructure that all programs share."""
