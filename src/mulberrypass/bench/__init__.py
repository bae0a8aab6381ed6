"""Load and experiments over real processes."""
