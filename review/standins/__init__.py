"""Stand-ins of the platform, its replicas and its requesters."""
