"""Passes callers' requests on to engines, byte for byte."""
