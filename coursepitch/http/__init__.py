"""HTTP/1.1 server and client based on h11, anyio and asyncio transports."""

from __future__ import annotations

from coursepitch.http.client import (
    Connection,
    ConnectionPool,
    ExchangeError,
    Framing,
    NoConnectionError,
    Response,
)
from coursepitch.http.messages import Headers, IncomingRequest, find_header
from coursepitch.http.server import ConnectionRules, HttpServer, ResponseWriter

__all__ = [
    'Connection',
    'ConnectionPool',
    'ConnectionRules',
    'ExchangeError',
    'Framing',
    'Headers',
    'HttpServer',
    'IncomingRequest',
    'NoConnectionError',
    'Response',
    'ResponseWriter',
    'find_header',
]
