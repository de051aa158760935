"""Run a site under faults, write down what truly happened, and judge the promises from it."""
