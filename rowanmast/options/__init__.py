"""Rowanmast's own settings, read from one file in protobuf text format."""
