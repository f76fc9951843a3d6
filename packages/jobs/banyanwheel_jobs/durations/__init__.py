"""What is learned of the run times of tasks, and of the speed of workers."""
