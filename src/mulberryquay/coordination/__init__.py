"""Coordination library that can be embedded without the daemons."""
