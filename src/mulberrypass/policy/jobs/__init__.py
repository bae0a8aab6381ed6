"""Policies for batch jobs: lot leases, retries and flushes."""
