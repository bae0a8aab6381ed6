"""What every program shares: settings, logs, metrics, dump, HTTP."""
