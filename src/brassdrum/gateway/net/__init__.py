"""Event loop, sockets and HTTP/1.1 connections of the gateway."""
