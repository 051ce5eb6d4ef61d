"""The core of the router: the ledger of calls and its interfaces, without wire protocols and sockets."""
