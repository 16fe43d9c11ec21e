"""Records what the soak's clients, workers and operator observed. Times are seconds since the start of the run."""
import dataclasses


@dataclasses.dataclass
class Dispatch:
    """A request as it arrived at a worker."""
    request_id: str
    worker_id: str
    service: str
    at: float
    first_token_at: float | None = None  # for an application service: when the request ran
    revision: int = 0  # model revision of the worker at the first token
    model: str = ''
    zone: str = ''  # of the worker
    misdirected: bool = False  # the worker responded 421


@dataclasses.dataclass
class Call:
    """A client's request to a gateway."""
    request_id: str
    gateway: str
    kind: str  # 'once', 'stream', 'resume', 'probe'
    sent_at: float
    reused_connection: bool
    ended_at: float | None = None
    status: int | None = None  # None: closed or reset without a response; 0: not connected; -1: time-out
    complete: bool = False
    detail: str = ''

    def is_idempotent(self):
        return self.kind in ('resume', 'probe')


@dataclasses.dataclass
class ProcessEvent:
    """A signal to a gateway or controller process, or its start or end."""
    node: str
    is_controller: bool
    at: float
    kind: str  # 'start', 'term', 'kill', 'freeze', 'thaw', 'exit', 'hup', 'cut', 'heal', 'ended_by_itself'


@dataclasses.dataclass
class Change:
    """A configuration or model revision that the operator sent."""
    kind: str  # 'configuration', 'revision'
    name: str
    number: int
    sent_at: float
    acknowledged_at: float | None = None
    acknowledged_by: str = ''


@dataclasses.dataclass
class EvacuationOrder:
    """An operator's order to evacuate a zone, or to end that."""
    zone: str
    begin: bool
    sent_at: float
    acknowledged_at: float | None = None
    copies: int = 0
    refused: bool = False


@dataclasses.dataclass
class Probe:
    """A request to one gateway on the route that a configuration added."""
    gateway: str
    version: int
    sent_at: float
    status: int | None


@dataclasses.dataclass
class Drain:
    """The time from which the instance list shows a worker as draining."""
    worker_id: str
    shown_at: float


class History:
    def __init__(self):
        self.dispatches: list[Dispatch] = []
        self.calls: list[Call] = []
        self.events: list[ProcessEvent] = []
        self.changes: list[Change] = []
        self.evacuation_orders: list[EvacuationOrder] = []
        self.probes: list[Probe] = []
        self.drains: list[Drain] = []
        self.worker_faults: list[tuple[float, float, str]] = []  # start, end, description
        self.rejections = 0  # requests that an overloaded worker rejected
        self.copies = 0  # answers that a worker sent once more
        self.worst_stall_s = 0.0  # longest stall of the soak's event loop
        self.ended_at = 0.0
        self.final_revisions: dict[str, tuple[str, int, float]] = {}  # worker id -> model, revision, start time
        self.final_configuration: int | None = None
