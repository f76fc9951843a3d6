"""IP addresses with ports, as written in settings."""

from ipaddress import ip_address

__all__ = ["Address"]

MAX_PORT = 65_535


class Address(str):
    """An IP address and a port, as ``host:port``; IPv6 as ``[host]:port``."""

    __slots__ = ()

    @classmethod
    def parse(cls, text):
        """Returns the text as an Address; raises ValueError if it isn't one."""
        host, separator, port = text.rpartition(":")
        if not separator or not port.isascii() or not port.isdecimal():
            raise ValueError(f"'{text}' is not of the form host:port")
        if int(port) > MAX_PORT:
            raise ValueError(f"port {port} is above {MAX_PORT}")
        _check_host(host)
        return cls(text)

    @property
    def host(self):
        """The IP address, without brackets."""
        return self.rpartition(":")[0].strip("[]")

    @property
    def port(self):
        """The port; 0 lets the system choose one."""
        return int(self.rpartition(":")[2])


def _check_host(host):
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        raise ValueError(f"'{host}' is not an IP address") from None
    if bracketed != (address.version == 6):
        raise ValueError(f"'{host}': brackets are for IPv6 addresses, which need them")
