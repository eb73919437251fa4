"""The daemon of a deployment with routes: one event loop around pure decisions."""
