"""One composition root for each program."""
