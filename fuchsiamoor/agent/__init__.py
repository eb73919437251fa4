"""The daemon of a deployment with routes.

One event loop does the I/O; the decisions are made by functions without I/O.
"""
