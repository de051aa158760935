"""Exchange load and configuration status between gateway daemons."""
