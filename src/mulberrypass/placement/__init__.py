"""Loads and unloads model versions on engines as placement requires."""
