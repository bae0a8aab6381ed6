"""Batch jobs of a few hundred items, kept whole in the table service."""
