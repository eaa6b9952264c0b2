"""Take over changed settings while the daemon runs."""

from dataclasses import fields, replace
from pathlib import Path

from corianderhold.log import log_event, log_warning, set_level
from corianderhold.settings.errors import SettingsError
from corianderhold.settings.loader import load_settings
from corianderhold.settings.model import Settings

APPLIED_AT_ONCE = frozenset({"log_level"})


class SettingsReloader:
    """Read the settings again; what can't change at once holds from the next start."""

    def __init__(self, path: Path, settings: Settings) -> None:
        self._path = path
        self._in_force = settings

    def reload(self) -> None:
        """Apply what changed and log it; keep the old settings where it has faults."""
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            faults = str(error).splitlines()
            log_warning("settings_rejected", faults=len(faults), first=faults[0])
            return
        changed = [
            field
            for field in fields(Settings)
            if getattr(settings, field.name) != getattr(self._in_force, field.name)
        ]
        log_event("settings_reloaded", changed=len(changed))
        for field in changed:
            log_event(
                "settings_changed",
                option=field.name,
                value=str(getattr(settings, field.name)) if field.repr else None,
                applied=field.name in APPLIED_AT_ONCE,
            )
        set_level(settings.log_level)
        self._in_force = replace(self._in_force, log_level=settings.log_level)
