"""One instance on the users' platform: its parts, its life from start to stop."""
