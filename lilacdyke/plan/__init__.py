"""Planners: what forwarders may spend of budgets that they share. Pure so far; see docs/ROADMAP.md."""
