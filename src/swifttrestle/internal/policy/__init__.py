"""Pure decision logic without I/O: routing, admission, retries, ejection, engine roles."""
