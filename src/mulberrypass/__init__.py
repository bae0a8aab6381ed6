"""Serving system for online and batch inference on a shared fleet."""
