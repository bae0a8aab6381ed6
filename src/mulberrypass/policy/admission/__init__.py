"""Who gets which engine when: queues, slots, refusals, revocation."""
