"""The command line: one file a sub-command, each parsing, calling and printing."""
