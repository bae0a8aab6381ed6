"""Rules for online requests: retries, hedging, recovery, addresses."""
