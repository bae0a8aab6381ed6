"""Carries out the placement of versions on engines."""
