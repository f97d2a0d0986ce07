"""The entry daemon: answers callers, chooses targets, forwards requests."""
