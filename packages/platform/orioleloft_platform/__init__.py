"""HTTP form of the platform's object API, behind one interface."""
