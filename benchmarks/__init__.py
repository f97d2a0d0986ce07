"""Measurements; each prints ratios of figures taken in one run."""
