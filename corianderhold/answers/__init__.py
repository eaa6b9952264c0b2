"""Read answers files and generate the configuration from them."""
