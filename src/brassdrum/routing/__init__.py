"""Pure decisions on which endpoint runs a request."""
