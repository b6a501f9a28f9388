"""Admission of forwarded requests: waiting, ranks, fair shares, rejections."""
