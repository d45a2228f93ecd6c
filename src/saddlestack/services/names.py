"""Names of services in the registry."""

CONFIGURATION = "configuration"
MEMBERSHIP = "membership"
INVENTORY = "inventory"
OWNERSHIP = "ownership"
INTAKE = "intake"
ROUTER = "router"
CLAIMS = "claims"
AUDIT = "audit"
METRICS = "metrics"
DRAIN = "drain"
STORE = "store"
RPC = "rpc"


def scheduler(cell: str) -> str:
    """The registry name of a cell's scheduler."""
    return f"scheduler:{cell}"
