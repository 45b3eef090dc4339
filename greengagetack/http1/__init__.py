"""greengagetack.http1: strict HTTP/1.1 client for endpoints and other servers."""
