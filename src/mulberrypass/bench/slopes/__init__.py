"""Cost of each part by the size of the fleet."""
