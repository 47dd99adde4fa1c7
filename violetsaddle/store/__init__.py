"""What lasts.  Imported only by a node that has it switched on."""
