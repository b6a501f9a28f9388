"""Sharing of the slots of full upstreams among the daemons that forward."""
