"""Limits of customers' requests per second over all instances."""
