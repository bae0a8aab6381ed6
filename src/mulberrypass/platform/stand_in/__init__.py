"""Stand-ins for the platform's store, engines and callers.

They serve tests, the soak and the demo.
"""
