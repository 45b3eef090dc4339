"""greengagetack.platform.wire: header names and object kinds of the platform."""

__all__ = [
    "CONFIG_KIND",
    "DEADLINE",
    "DUTY_HOLDER",
    "EXPECT_INSTANCE",
    "FENCE_TOKEN",
    "INSTANCE_ID",
    "LAST_EVENT_ID",
    "MODEL",
    "NOT_EXECUTED",
    "PROMPT_PREFIX",
    "REQUEST_ID",
    "RESPONSE_SEAL",
    "RESUMES",
    "RETIREMENTS_KIND",
    "SERVERS_KIND",
    "SERVER_LEAVING",
    "SERVER_LIMIT",
    "TOKEN_USAGE",
    "URGENCY",
    "VERSIONS_KIND",
    "WAIT",
    "WEIGHT_VERSIONS",
]

REQUEST_ID = b"x-request-id"
DEADLINE = b"x-deadline-ms"
DUTY_HOLDER = b"x-duty-holder"
EXPECT_INSTANCE = b"x-expect-instance"
FENCE_TOKEN = b"x-fence-token"
INSTANCE_ID = b"x-instance-id"
LAST_EVENT_ID = b"last-event-id"
MODEL = b"x-model"
NOT_EXECUTED = b"x-not-executed"
PROMPT_PREFIX = b"x-prompt-prefix"
RESPONSE_SEAL = b"x-response-seal"
# Identifier of the attempt that brought the first event of a stream that is taken up.
RESUMES = b"resumes"
SERVER_LEAVING = b"server-leaving"
SERVER_LIMIT = b"server-limit"
TOKEN_USAGE = b"x-token-usage"
URGENCY = b"x-urgency-class"
WAIT = b"x-wait-ms"
WEIGHT_VERSIONS = b"x-weight-versions"

# Object kinds that the operator, the replicas and the trainers write.
CONFIG_KIND = "config"
SERVERS_KIND = "servers"
VERSIONS_KIND = "versions"
RETIREMENTS_KIND = "retirements"
