"""Which engines of a cell are slow or failing."""
