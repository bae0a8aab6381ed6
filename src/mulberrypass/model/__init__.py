"""The named objects that operators submit."""
