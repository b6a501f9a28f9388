"""Data classes shared by all layers, without input or output."""
