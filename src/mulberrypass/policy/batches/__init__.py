"""Rules for batch jobs of the users' site: heads, holders and order."""
