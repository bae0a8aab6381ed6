"""Experiments, load generators and capacity figures."""
