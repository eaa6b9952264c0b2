"""Keep the product's log lines out of a test's output."""

from unittest import TestCase

from loguru import logger


class QuietTestCase(TestCase):
    """Log nothing while a test of the class runs."""

    @classmethod
    def setUpClass(cls) -> None:
        """Stop the log until the end of the class."""
        logger.disable("corianderhold")
        cls.addClassCleanup(logger.enable, "corianderhold")
