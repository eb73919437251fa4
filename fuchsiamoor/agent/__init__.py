"""The daemon of a deployment with routes: one loop that carries the pure rooms."""
