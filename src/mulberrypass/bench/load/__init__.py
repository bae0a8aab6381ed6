"""Load generators and their measurements."""
