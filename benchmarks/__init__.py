"""Demo, load generator and experiments: real instances before stand-ins."""
