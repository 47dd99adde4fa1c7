"""The network part of the node: it carries what the module decides and decides nothing itself."""
