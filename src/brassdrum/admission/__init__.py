"""Pure decisions on what is admitted, when and in which order."""
