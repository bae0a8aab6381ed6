"""Tests of senders of load."""
