"""Run fleets of daemons that do nothing but membership."""
