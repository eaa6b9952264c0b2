"""Print the figures of a measurement and check them against stated targets."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Target:
    """A stated bound on a figure: at most `highest` and at least `lowest`."""

    figure: str
    lowest: float = float("-inf")
    highest: float = float("inf")


def print_figures(scenario: str, seed: int, figures: dict[str, float | str]) -> None:
    """Print figures as one line of key=value pairs."""
    pairs = [f"scenario={scenario}", f"seed={seed}"]
    for name, value in figures.items():
        text = f"{value:.4g}" if isinstance(value, float) else str(value)
        pairs.append(f"{name}={text}")
    print(" ".join(pairs), flush=True)


def judge_figures(figures: dict[str, float], targets: list[Target]) -> bool:
    """Print one line per target and return whether all are met."""
    met = True
    for target in targets:
        value = figures[target.figure]
        within = target.lowest <= value <= target.highest
        met = met and within
        state = "met" if within else "missed"
        print(f"target={target.figure} value={value:.4g} state={state}", flush=True)
    return met
