"""What one daemon at a time does for all of them."""
