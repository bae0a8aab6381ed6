"""Experiments with the programs as processes."""
