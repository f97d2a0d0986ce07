"""Tests of the platform adapter, which run without the platform."""
