"""Tests of client accounts and their keys."""
