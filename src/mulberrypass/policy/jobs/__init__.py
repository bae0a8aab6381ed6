"""Which lots of a job run where, and what follows a run."""
