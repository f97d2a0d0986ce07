"""Ways to choose among the targets that have room; each is a plug-in."""
