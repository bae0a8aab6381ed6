"""A serving system for online and batch inference on one fleet."""
