"""The banyanwheel command line and the HTTP client beneath it."""
