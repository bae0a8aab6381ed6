"""Randomized soak test of the real programs with fault injection."""
