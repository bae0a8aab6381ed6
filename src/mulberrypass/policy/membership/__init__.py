"""Who lives, who is leaving, and how members hear of it."""
