"""Infrastructure of all programs: settings, logs, metrics, dump, HTTP."""
