"""Experiments on modelled engines under a virtual clock."""
