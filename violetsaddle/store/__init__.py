"""Files that outlive the process.  Imported only by a node whose operator file turns them on."""
