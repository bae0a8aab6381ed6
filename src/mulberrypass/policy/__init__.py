"""Pure decisions: no socket, no clock, no thread."""
