"""Schemas of settings, declarations, fleet entries and messages, and the code made from them."""
