"""Stand-ins of the users' platform for the scripts of the third review."""
