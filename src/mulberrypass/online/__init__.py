"""Execution of online requests: permits, attempts, records, recovery."""
