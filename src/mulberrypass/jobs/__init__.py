"""Batch jobs: submission, execution and results."""
