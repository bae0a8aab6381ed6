"""Tests of the policy package."""
