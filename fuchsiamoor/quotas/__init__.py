"""Quotas of organisations over all daemons: pure, see docs/design/quotas.md."""
