"""Programs for the developers, outside the product."""
