"""Which numbers are the status of an HTTP answer."""

# A status has three digits, of which the first names one of five classes.
_LEAST, _MOST = 100, 599
_SWITCHING_PROTOCOLS = 101
_LEAST_FINAL = 200


def is_final(status: int) -> bool:
    """Return whether a status is that of a whole answer.

    Examples
    --------
    >>> [is_final(status) for status in (0, 99, 100, 101, 200, 599, 600, 999)]
    [False, False, False, False, True, True, False, False]
    """
    return _LEAST_FINAL <= status <= _MOST


def is_expected(status: int) -> bool:
    """Return whether an answer may have this status; nobody asks to switch protocols.

    Examples
    --------
    >>> [is_expected(status) for status in (0, 99, 100, 101, 200, 599, 600, 999)]
    [False, False, True, False, True, True, False, False]
    """
    return _LEAST <= status <= _MOST and status != _SWITCHING_PROTOCOLS
