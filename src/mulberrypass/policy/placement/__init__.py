"""Placement of model versions on engines, and canary rollouts."""
