"""Commits, budgets and generations of the platform's store."""
