"""Policies as pure logic, without sockets, clocks or threads."""
