"""The control process: one of three replicas that hold the versions of the configuration durably and tell
nodes of them.  Imported only by its own commands; a node never imports it."""
