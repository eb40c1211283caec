"""Report on the outcomes of requests, from the logs of all processes."""

from __future__ import annotations

from coursepitch.report.causes import Cause, find_cause
from coursepitch.report.fleet import FleetSample, sample_fleet
from coursepitch.report.page import render_report
from coursepitch.report.requests import RequestRecord, collect_requests
from coursepitch.report.summary import Summary, format_summary, summarize

__all__ = [
    'Cause',
    'FleetSample',
    'RequestRecord',
    'Summary',
    'collect_requests',
    'find_cause',
    'format_summary',
    'render_report',
    'sample_fleet',
    'summarize',
]
