"""Define the section names, option names, defaults and bounds of the settings."""

CONF_INSTANCE = "instance"
CONF_ID = "id"
CONF_DOMAIN = "domain"
CONF_REGION = "region"

CONF_LISTENERS = "listeners"
CONF_CALLER = "caller"
CONF_OUTGOING = "outgoing"
CONF_ANNOUNCE = "announce"
CONF_READINESS = "readiness"
CONF_PEER = "peer"
CONF_PEER_ADVERTISED = "peer_advertised"
CONF_GOSSIP = "gossip"
CONF_ADMIN = "admin"
CONF_CALLER_THREADS = "caller_threads"
CONF_OUTGOING_THREADS = "outgoing_threads"

CONF_TARGET = "target"
CONF_SERVICE = "service"
CONF_HEARTBEAT_TTL_S = "heartbeat_ttl_s"

CONF_STORE = "store"
CONF_ADDRESS = "address"
CONF_RETENTION_S = "retention_s"

CONF_MEMBERSHIP = "membership"
CONF_SEEDS = "seeds"
CONF_ENTRY_SLOTS = "entry_slots"
CONF_DOMAINS = "domains"
CONF_RATE_SLACK = "rate_slack"
CONF_RETRY_BURST = "retry_burst"
CONF_RATE_OVERAGE = "rate_overage"
CONF_RATE_LOWERING_DELAY_S = "rate_lowering_delay_s"

CONF_SECURITY = "security"
CONF_PEER_TRUST = "peer_trust"
CONF_FLEET_SECRET = "fleet_secret"
CONF_ADMIN_TOKEN = "admin_token"

CONF_LIFECYCLE = "lifecycle"
CONF_STOP_LIMIT_S = "stop_limit_s"
CONF_DEREGISTRATION_DELAY_S = "deregistration_delay_s"

CONF_LOGGING = "logging"
CONF_LEVEL = "level"

TRUST_SECRET = "secret"
TRUST_NETWORK = "network"
PEER_TRUSTS = (TRUST_SECRET, TRUST_NETWORK)

LOG_LEVELS = ("debug", "info", "warning", "error")
DEFAULT_LEVEL = "info"
DEFAULT_CALLER_THREADS = 96
DEFAULT_OUTGOING_THREADS = 64
SECRET_LENGTH_MIN = 16
HIGHEST_PORT = 65535
DEFAULT_RETENTION_S = 86_400.0
DEFAULT_ENTRY_SLOTS = 0
DEFAULT_RATE_SLACK = 0
HIGHEST_RATE_SLACK = 1000
DEFAULT_RETRY_BURST = 0
HIGHEST_RETRY_BURST = 10_000
DEFAULT_RATE_OVERAGE = 0.0
DEFAULT_RATE_LOWERING_DELAY_S = 0.0
ENTRY_SLOTS_MEMBERS = "members"
HIGHEST_ENTRY_SLOTS = 10_000
DEFAULT_STOP_LIMIT_S = 10.0
DEFAULT_DEREGISTRATION_DELAY_S = 3.0
STOP_MARGIN_S = 2.0
