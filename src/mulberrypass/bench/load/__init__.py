"""Senders of load, and what they see."""
