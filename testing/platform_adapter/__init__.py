"""Tests of the platform adapter, without the platform."""
