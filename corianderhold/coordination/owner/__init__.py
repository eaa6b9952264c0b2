"""Admit calls to the local target and dispatch them."""
