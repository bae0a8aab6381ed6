"""The HTTP interface towards operators, and its client."""
