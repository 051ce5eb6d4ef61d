"""The call ledger: it knows calls, attempts, deadlines and the rules, but no wire and no sockets."""
