"""The command-line interface: modules of commands, and what the commands share."""
