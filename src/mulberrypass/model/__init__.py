"""Data types shared by all programs, and the configuration objects."""
