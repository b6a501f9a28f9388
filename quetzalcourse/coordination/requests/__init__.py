"""Execution of one request from admission to the last byte, with retries."""
