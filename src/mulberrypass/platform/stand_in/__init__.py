"""Stand-ins for the platform's store, engines and callers, for tests."""
