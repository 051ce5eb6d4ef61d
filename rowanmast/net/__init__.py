"""The platform's wire: SIP towards callers, JSON lines towards switches, HTTP towards the change log."""
