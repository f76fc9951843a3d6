"""Tests of the detection of interference between tasks."""
