"""Stand-ins for the scripts of the second review; the standard library is enough."""
