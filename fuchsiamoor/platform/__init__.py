"""Protocol adapter for the platform on which fuchsiamoor is deployed.

It translates the platform's messages and settings, and holds no routing or ownership
logic. No name of the platform may appear outside this package.
"""
