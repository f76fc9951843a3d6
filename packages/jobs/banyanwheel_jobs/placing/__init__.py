"""The choice of a runner for each task, and what is known of the runners."""
