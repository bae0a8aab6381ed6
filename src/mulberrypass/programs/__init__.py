"""Entry points of the programs, each with its composition root."""
