"""Tests of the decisions; none needs a network or waits."""
