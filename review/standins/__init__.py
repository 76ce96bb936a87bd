"""Stand-ins for clients, runners and the platform's store, on the standard library."""
