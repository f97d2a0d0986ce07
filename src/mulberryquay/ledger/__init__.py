"""The ledger: durable claims that prevent a request from running twice."""
