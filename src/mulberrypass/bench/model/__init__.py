"""Experiments on the model of engines, in one process."""
