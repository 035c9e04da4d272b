"""Tests of quetzalmill."""
