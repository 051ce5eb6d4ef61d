"""The assembly: a whole router from a checked configuration, and the daemon that holds one."""
