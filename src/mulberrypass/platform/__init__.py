"""Clients of the platform's table, objects, instances and weights."""
