"""Stand-in of the platform's list of machines: live and leaving ones, shown with a lag."""
