"""Which jobs are served when room runs out, and what each class of jobs receives."""
