"""The control host: configuration, targets and entry lists for entries."""
