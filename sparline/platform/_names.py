"""Names on the users' wire, each met once, with what it means in our words."""

# Headers of requests.
REQUEST_ID = b"attempt-id"  # id of one try of a caller; a repeat by the caller has another
DEADLINE = b"deadline-milliseconds"  # time that is left, not a point in time
EXPECTED_SERVER = b"expected-instance"  # the one backend server that may run it; "instance"
# there is a backend server's incarnation, never an instance of ours
EXPECTED_VERSION = b"expected-version"  # version of weights that must be loaded
FETCH_FROM = b"kv-fetch"  # engine that keeps more of the prompt's start
PRIORITY = b"request-priority"  # 0 goes first
TOKEN_COUNTS = b"token-counts"  # tokens of the prompt, and the most of the answer
PROMPT_PARTS = b"prompt-prefix"  # all parts of the prompt, its own last one too, not a prefix
LAST_EVENT = b"last-event-id"  # last event that the caller has
AUTHORIZATION = b"authorization"  # the caller's key, after its scheme
ORGANISATION = b"tenant"  # organisation whose key the caller showed
ONLY_OURS = frozenset(  # set by the gateway alone; a caller's are dropped
    (
        EXPECTED_SERVER,
        EXPECTED_VERSION,
        PRIORITY,
        ORGANISATION,
        b"hold",
        b"pin-milliseconds",
        b"cache-backup",
        b"kv-from",
        FETCH_FROM,
    )
)

# Headers of answers.
SEAL = b"response-seal"  # signature of the backend server over its answer
NOT_RUN = b"not-executed"  # proof that the request did not and will not run
RETRY_AFTER = b"retry-after"  # seconds, fractions included
SERVER_LEAVING = b"server-leaving"  # "1" if the backend server is shutting down
SERVER_LIMIT = b"server-limit"  # requests per second, from all instances together

# Headers between our own instances; callers' are dropped.
OWN_PREFIX = b"sparline-"
RELAY_SERVICE = b"sparline-service"  # service that the first instance chose
RELAY_CALLER = b"sparline-caller"  # whose key the first instance was shown
RELAY_ADMISSION_KEY = b"sparline-admission-key"  # compared with the level of the peer's region
RELAY_OUTCOME = b"sparline-outcome"  # marks an answer of the peer itself
RELAY_NO_ROOM = b"sparline-no-room"  # the peer's whole region has no room for the request
RELAY_ENDED = b"sparline-ended"  # backend server that ended while the peer ran the request there

# Calls of the store.
READ_KEY_RANGE = "/v1/kv-range"
WATCH_KEYS = "/v1/kv-watch"

# Keys of the store.
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
SERVER_PREFIX = "servers/"

# Calls that reach us.
READINESS = "/v1/readiness"
RESOLVE = "/v1/resolve"
