"""The kernel: registries to which plug-ins add components."""
