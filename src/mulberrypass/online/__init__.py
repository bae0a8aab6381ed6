"""The course of one online request."""
