"""Which dispatchers place tasks on which runners, and how jobs get to them."""
