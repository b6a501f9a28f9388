"""Wire messages and their conversion to and from the state classes."""
