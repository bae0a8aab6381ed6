"""Requests of callers: retries, hedging, recovery, addresses."""
