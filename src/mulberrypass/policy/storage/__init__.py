"""Rules for the platform's store: group commit, budgets, generations."""
