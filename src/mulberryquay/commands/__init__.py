"""The subcommands; each module is a plug-in."""
