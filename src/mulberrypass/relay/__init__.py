"""Forwards callers' requests to engines, byte for byte."""
