"""Ownership of key ranges by upstream incarnations, coordinated through the store."""
