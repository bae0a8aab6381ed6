"""Tests, arranged as the packages that they cover."""
