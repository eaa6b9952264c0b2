"""Reload the settings while the daemon runs."""

from dataclasses import fields, replace
from pathlib import Path

from corianderhold.log import log_event, log_warning, set_level
from corianderhold.settings.errors import SettingsError
from corianderhold.settings.loader import load_settings
from corianderhold.settings.model import Settings

RELOADABLE_FIELDS = frozenset({"log_level"})


class SettingsReloader:
    """Reload the settings; most options take effect only at the next start."""

    def __init__(self, path: Path, settings: Settings) -> None:
        self._path = path
        self._current = settings

    def reload(self) -> None:
        """Apply and log changed options; keep the old settings if there are faults."""
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            faults = str(error).splitlines()
            log_warning("settings_rejected", faults=len(faults), first=faults[0])
            return
        changed = [
            field
            for field in fields(Settings)
            if getattr(settings, field.name) != getattr(self._current, field.name)
        ]
        log_event("settings_reloaded", changed=len(changed))
        for field in changed:
            log_event(
                "settings_changed",
                option=field.name,
                value=str(getattr(settings, field.name)) if field.repr else None,
                applied=field.name in RELOADABLE_FIELDS,
            )
        set_level(settings.log_level)
        self._current = replace(self._current, log_level=settings.log_level)
