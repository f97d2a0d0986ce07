"""Stand-ins for what surrounds the system: targets that announce."""
