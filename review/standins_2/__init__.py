"""Stand-ins for the scripts of the second review, on the standard library alone."""
