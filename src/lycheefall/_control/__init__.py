"""Pipeline of a control replica, and the client of control."""
