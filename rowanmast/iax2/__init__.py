"""IAX2 (RFC 5456) over UDP: a front for callers and links to switches."""
