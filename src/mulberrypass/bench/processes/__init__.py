"""Experiments that run the programs as separate processes."""
