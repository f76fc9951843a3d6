"""Decoding of data that another writer may have left."""

import msgspec

__all__ = ["decode"]


def decode(decoder, data):
    """Decodes with a msgspec decoder; raises msgspec.MsgspecError if it can't.

    Data that is nested too deeply is such a fault too, even in a field that the
    decoder's type doesn't know.
    """
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise msgspec.DecodeError(str(error)) from error
