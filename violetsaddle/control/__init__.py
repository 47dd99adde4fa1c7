"""The control process: one of three replicas that store configuration versions and serve them to nodes.

Only the commands of the control process import this package, and nodes never do."""
