"""Tests of the package mulberryquay.commands."""
