"""The demonstration: a small system with its main job, and one failure."""
