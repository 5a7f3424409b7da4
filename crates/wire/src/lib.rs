//! Authenticated datagrams and framed streams between routers.
