"""Define the protocol between instances: relay frames, datagrams, RPC."""
