"""The users' platform: its wire and settings, decoded into the product's types.

Nothing is decided here, and no name of the platform stands outside this folder.
"""
