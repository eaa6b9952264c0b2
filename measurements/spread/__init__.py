"""Hold the parts of the measurement of the configuration's spread."""
