"""The command line: one module a subcommand, imported when it is called."""
