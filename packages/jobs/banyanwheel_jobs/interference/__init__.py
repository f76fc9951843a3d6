"""Detection of tasks that slow each other down on one worker."""
