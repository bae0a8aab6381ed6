"""The course of batch jobs, their lots and their items."""
