"""One request from admission to the last byte, whatever fails."""
