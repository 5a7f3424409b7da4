//! Failure detection between routers and health of endpoints: state machines without I/O.
