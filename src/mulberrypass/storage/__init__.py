"""Group commits, retries and rate limits of calls to the platform."""
