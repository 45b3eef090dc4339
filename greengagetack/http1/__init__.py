"""greengagetack.http1: strict HTTP/1.1 connections to endpoints and other servers."""
