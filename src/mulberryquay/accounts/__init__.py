"""Client accounts: the keys by which callers show who they are."""
