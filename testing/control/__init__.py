"""Tests of `mulberryquay.control`."""
