"""Batch jobs of a few hundred items, stored entirely in table rows."""
