"""Rules for batch jobs of ``mulberry-site``: heads, holders and order."""
