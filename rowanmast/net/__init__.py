"""The platform's protocols: SIP to callers, JSON lines to switches, HTTP to the change log."""
