"""Small fakes of the platform, the engines and the plain services."""
