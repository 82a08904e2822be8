"""Choice of the target that a request is sent to."""
