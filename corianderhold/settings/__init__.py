"""Read and check the INI settings of one process."""
