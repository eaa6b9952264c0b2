"""Suppress log lines in the output of tests."""

from unittest import TestCase

from loguru import logger


class QuietTestCase(TestCase):
    """Disable logging while the tests of the class run."""

    @classmethod
    def setUpClass(cls) -> None:
        """Disable logging until the end of the class."""
        logger.disable("corianderhold")
        cls.addClassCleanup(logger.enable, "corianderhold")
