"""Admission control: queues, slots, refusals and revocation."""
