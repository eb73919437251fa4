"""Ownership of key ranges by upstream incarnations, agreed through the store."""
