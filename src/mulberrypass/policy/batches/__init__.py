"""Batch jobs of the users' site: heads, holders and order."""
