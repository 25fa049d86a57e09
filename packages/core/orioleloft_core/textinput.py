"""Text from outside: of bounded length, and such that every node can use and pass it on.

JSON can contain characters that UTF-8 cannot encode (lone surrogates). Text with one of them fails
in each hash, message to another node and header that it becomes a part of.
"""

import ipaddress
from typing import Any

# Maximum length of a name, in characters; it is a part of datagrams, headers and log lines.
MAX_NAME_LENGTH = 256


def require_text(value: Any) -> str:
    """Returns a decoded value that must be text that UTF-8 can encode.

    Raises:
        ValueError: the value has another type or has characters that cannot be encoded.
    """
    if not isinstance(value, str):
        raise ValueError(f"{type(value).__name__} in place of text")
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise ValueError("text that UTF-8 cannot encode") from error
    return value


def require_name(value: Any) -> str:
    """Returns a decoded value that must be the name of a service, zone or object.

    Raises:
        ValueError: the value is not text, is empty or has more than `MAX_NAME_LENGTH` characters.
    """
    name = require_text(value)
    if not 0 < len(name) <= MAX_NAME_LENGTH:
        raise ValueError(f"a name of {len(name)} characters, {MAX_NAME_LENGTH} are allowed")
    return name


def require_token(value: Any) -> str:
    """Returns a decoded value that must be a name that a header can carry.

    Raises:
        ValueError: the value is not a name, or has other than visible ASCII characters.
    """
    name = require_name(value)
    if not all("!" <= character <= "~" for character in name):
        raise ValueError(f"{name[:40]!a} has other than visible ASCII characters")
    return name


def parse_ip_address(text: str) -> str:
    """Parses the IP address of a host; an IPv6 address stands in brackets.

    Host names are refused, as looking one up would block the event loop.

    Raises:
        ValueError: the text is no address of a single host.
    """
    is_bracketed = text.startswith("[") and text.endswith("]")
    content = text[1:-1] if is_bracketed else text
    if "%" in content or len(content) > MAX_NAME_LENGTH:
        raise ValueError(f"{content[:40]!a} is not an IP address")
    address = ipaddress.ip_address(content)
    if is_bracketed != (address.version == 6):
        raise ValueError(f"{text[:60]!a} is not an IPv4 address or an IPv6 address in brackets")
    if address.is_unspecified or address.is_multicast:
        raise ValueError(f"{address} is not the address of a host")
    return str(address)
