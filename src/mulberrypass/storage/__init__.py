"""Group commits, lost replies and budgets of the platform store."""
