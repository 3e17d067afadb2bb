"""Pools of engines of the own interface: actors, views and orders."""
