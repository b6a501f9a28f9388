"""Deployment of new weight versions to engines, in waves."""
