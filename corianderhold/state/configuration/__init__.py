"""Model the configuration and fold its stream into versions."""
