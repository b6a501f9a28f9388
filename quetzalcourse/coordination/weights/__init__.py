"""New weights onto engines, in waves."""
