"""The kernel: registries that plug-ins fill through named hooks."""
