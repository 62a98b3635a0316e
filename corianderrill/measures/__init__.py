"""Measures of decisions and of the running program, each printed as JSON."""
