"""Policies that choose among targets with capacity; each is a plug-in."""
