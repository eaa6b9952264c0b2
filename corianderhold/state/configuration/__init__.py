"""Model the configuration and fold its stream of records into versions."""
