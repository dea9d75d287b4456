"""Drive marlbend from the command line."""
