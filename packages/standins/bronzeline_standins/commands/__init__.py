"""Define the commands of the stand-ins, one module per command."""
