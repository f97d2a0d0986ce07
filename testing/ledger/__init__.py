"""Tests of `mulberryquay.ledger`."""
