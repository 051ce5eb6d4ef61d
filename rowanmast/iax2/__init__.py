"""IAX2 (RFC 5456) over UDP: a second front, and links to switches that speak it."""
