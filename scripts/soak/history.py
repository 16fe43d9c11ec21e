"""What the soak's own clients, workers and operator have seen. Times are seconds of one monotonic clock."""
import dataclasses


@dataclasses.dataclass
class Dispatch:
    """A request as it arrived at a worker."""
    request_id: str
    worker_id: str
    service: str
    at: float
    first_token_at: float | None = None  # of a prompt; else when it ran
    revision: int = 0  # of the model, at the first token
    model: str = ''


@dataclasses.dataclass
class Call:
    """A client's attempt."""
    request_id: str
    gateway: str
    kind: str  # 'stream', 'once', 'probe'
    sent_at: float
    kept_connection: bool
    ended_at: float | None = None
    status: int | None = None  # None: closed or reset without an answer
    complete: bool = False
    detail: str = ''


@dataclasses.dataclass
class MachineEvent:
    """Something done to one of our processes, or that it did by itself."""
    node: str
    is_controller: bool
    at: float
    kind: str  # 'start', 'term', 'kill', 'freeze', 'thaw', 'exit', 'hup', 'ended_by_itself'


@dataclasses.dataclass
class Change:
    """An operator's change."""
    kind: str  # 'configuration', 'revision'
    name: str
    number: int
    sent_at: float
    acknowledged_at: float | None = None
    acknowledged_by: str = ''


@dataclasses.dataclass
class Probe:
    """A request to one gateway on the route that a configuration added."""
    gateway: str
    version: int
    sent_at: float
    status: int | None


@dataclasses.dataclass
class Drain:
    """From when the list shows a worker as draining."""
    worker_id: str
    shown_at: float


class History:
    def __init__(self):
        self.dispatches: list[Dispatch] = []
        self.calls: list[Call] = []
        self.events: list[MachineEvent] = []
        self.changes: list[Change] = []
        self.probes: list[Probe] = []
        self.drains: list[Drain] = []
        self.disturbed: list[tuple[float, float, str]] = []  # a worker in a fault of its own
        self.worst_stall_s = 0.0  # of the soak's own event loop
        self.ended_at = 0.0
        self.final_revisions: dict[str, tuple[str, int, float]] = {}  # worker: model, revision, started
        self.final_configuration: int | None = None
