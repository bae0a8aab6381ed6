"""Versions on engines, and the orders that bring them there."""
