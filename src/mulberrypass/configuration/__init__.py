"""Publishing, following and caching of configurations."""
