"""Charges requests to the quotas of workspaces, which all hosts count together."""
