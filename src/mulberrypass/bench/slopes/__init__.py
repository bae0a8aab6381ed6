"""Measurements of unit costs by load and fleet size."""
