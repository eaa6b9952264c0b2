"""Add an organisation with its own rate and key to a fleet."""

from corianderhold.ids import KeyId, OrganisationId
from corianderhold.state.configuration.model import ApiKey, Organisation
from corianderhold.state.configuration.records import Delta
from corianderhold.state.keys.const import KEY_PREFIX, SECRET_BYTES
from corianderhold.state.keys.digest import digest_secret
from emulator.sample import SHARES, build_change

SECRET = "3d" * SECRET_BYTES
LIMITED_KEY = f"{KEY_PREFIX}_limited-1_{SECRET}"


def build_limited(rate: float, burst: float) -> str:
    """Return the change that adds it to the sample configuration."""
    name = OrganisationId("limited")
    organisation = Organisation(name, rate, burst, shares=SHARES)
    key = ApiKey(KeyId("limited-1"), name, digest_secret(SECRET))
    return build_change(1, Delta((), (), (organisation,), (key,)))
