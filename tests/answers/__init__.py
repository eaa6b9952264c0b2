"""Test the questionnaire."""
