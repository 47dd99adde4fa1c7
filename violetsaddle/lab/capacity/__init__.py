"""What one node costs by the size of its fleet: `violetsaddle lab capacity`.

A real node, started as `python -m violetsaddle`, stands among hollow executors, discovery, clients and peers,
which all live in this process.  A sweep changes one size at a time; CPU time, memory, datagrams and bytes by
kind are read from outside the node and checked against its own counters."""
