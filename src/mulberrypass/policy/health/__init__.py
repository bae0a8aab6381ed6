"""Detection of slow and failing engines of a cell."""
