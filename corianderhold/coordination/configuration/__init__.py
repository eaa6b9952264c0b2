"""Follow, spread, publish and snapshot the configuration."""
