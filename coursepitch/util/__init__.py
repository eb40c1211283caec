"""General-purpose helpers without dependencies on the other packages."""
