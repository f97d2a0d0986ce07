"""Decisions on requests under load, as plain data in and plain data out.

They wait for nothing, open no socket and import no daemon, so that a test
plays a load against them without a network. A request meets them in this
order: the account of its caller (`callers`), the permit under the rate of that
account (`permits`), the calls that targets bear (`room`), its place among those
that wait (`ordering`, `fair_order`), its refusal (`refusal`), and its target
(`placement`).
"""
