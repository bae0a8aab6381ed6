"""Adapter to the users' platform: its settings, stores and HTTP calls."""
