"""Decisions on requests under load, as plain data in and plain data out.

They wait for nothing, open no socket and import no daemon, so that a test
plays a load against them without a network. A request meets them in this
order: the account of its caller (`callers`), the permit under the rate of that
account (`permits`), its place among those that wait (`ordering`), and its
target (`placement`).
"""
