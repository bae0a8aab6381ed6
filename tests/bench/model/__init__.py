"""Tests of experiments on modelled engines."""
