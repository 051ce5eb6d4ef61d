"""Our own settings: one checked file in protobuf text format."""
