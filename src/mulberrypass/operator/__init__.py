"""HTTP API for operators, and its client."""
