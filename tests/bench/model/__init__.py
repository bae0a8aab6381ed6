"""Tests of experiments on the model of engines."""
