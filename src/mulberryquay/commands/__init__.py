"""The subcommands, which are registered by plug-ins."""
