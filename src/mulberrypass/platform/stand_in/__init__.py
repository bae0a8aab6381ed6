"""Stand-ins for the site's store and engines, for tests and the demo."""
