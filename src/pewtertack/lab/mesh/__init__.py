"""A mesh of real nodes with a deployment's services, requests and settings."""
