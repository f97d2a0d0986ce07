"""The control daemon: configuration, announcements, fan-out to entries."""
