"""Read the answers of the questionnaire and generate the configuration."""
