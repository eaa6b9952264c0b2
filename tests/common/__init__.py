"""Share fakes and helpers between tests."""
