"""The table of all log events of a gateway: what each line says, how it is bounded, what to do."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

__all__ = ["LOG_EVENTS", "LogEvent", "Topic", "markdown_table"]


class Topic(StrEnum):
    """Group events that share one budget of lines a second; the first are kept longest."""

    LIFE = "life"
    FAILURE = "failure"
    BELIEF = "belief"
    REQUEST = "request"


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Describe one kind of line; ``write`` takes exactly its fields."""

    name: str
    topic: Topic
    fields: tuple[str, ...]
    meaning: str
    remedy: str

    def write(self, logger: logging.Logger, **values: object) -> None:
        """Write a line, or raise ``TypeError`` when its fields are not those of the table."""
        if set(values) != set(self.fields):
            raise TypeError(f"event {self.name!r} takes the fields {self.fields}")
        logger.log(_LEVEL_BY_TOPIC[self.topic], self.name, extra={"topic": self.topic, **values})


class LogEventTable:
    """Keep the events by name."""

    def __init__(self) -> None:
        self._by_name: dict[str, LogEvent] = {}

    def __iter__(self) -> Iterator[LogEvent]:
        return iter(self._by_name.values())

    def add(
        self, name: str, topic: Topic, fields: str, meaning: str, remedy: str = "None."
    ) -> LogEvent:
        """File an event; ``fields`` are parted by blanks."""
        event = LogEvent(name, topic, tuple(fields.split()), meaning, remedy)
        self._by_name[name] = event
        return event


_LEVEL_BY_TOPIC = {
    Topic.LIFE: logging.WARNING,
    Topic.FAILURE: logging.WARNING,
    Topic.BELIEF: logging.INFO,
    Topic.REQUEST: logging.INFO,
}
LOG_EVENTS = LogEventTable()

STARTED = LOG_EVENTS.add(
    "daemon started", Topic.LIFE, "host zone settings", "The process serves its addresses."
)
READY = LOG_EVENTS.add(
    "daemon ready",
    Topic.LIFE,
    "version endpoints",
    "A configuration and endpoints are known; the balancer may send.",
)
LEAVING = LOG_EVENTS.add(
    "daemon leaving",
    Topic.LIFE,
    "active grace",
    "A planned stop began; `active` requests are finished within `grace` seconds.",
)
STOPPED = LOG_EVENTS.add("daemon stopped", Topic.LIFE, "left", "The process ends.")
SETTINGS_READ = LOG_EVENTS.add(
    "settings read", Topic.LIFE, "zone changed", "The settings file was read again."
)
SETTINGS_KEPT = LOG_EVENTS.add(
    "settings kept",
    Topic.LIFE,
    "error",
    "The settings file is not usable; the old settings stay in force.",
    "Correct the file as `error` says and send SIGHUP.",
)
METRICS_UNAVAILABLE = LOG_EVENTS.add(
    "metrics unavailable",
    Topic.LIFE,
    "port error",
    "The port for collectors cannot be bound; requests are served all the same.",
    "Free the port and restart the daemon.",
)
STORE_LOST = LOG_EVENTS.add(
    "store lost",
    Topic.LIFE,
    "detail age",
    "The store does not answer this daemon; what it knows is `age` seconds old.",
    "Look whether other daemons lost it too; peers hand their knowledge on meanwhile.",
)
NOT_ANNOUNCED = LOG_EVENTS.add(
    "daemon not announced",
    Topic.LIFE,
    "error",
    "The store did not take the address of this daemon or hand out the list of daemons.",
    "None; it is tried again every 2 s, and peers hand the address on meanwhile.",
)
STORE_BACK = LOG_EVENTS.add("store back", Topic.LIFE, "age", "The store answers again.")
STORE_RESTORED = LOG_EVENTS.add(
    "store restored",
    Topic.LIFE,
    "era earlier source",
    "The store came back from a copy, as it or a peer says; what daemons wrote is written again.",
    "Check that the newest configuration is there; daemons keep the one in force meanwhile.",
)
LINES_LEFT_OUT = LOG_EVENTS.add(
    "lines left out",
    Topic.LIFE,
    "counts",
    "Lines of a topic were over its budget in the last second.",
    "Read the counters; failed requests are explained by their own line.",
)
HELD = LOG_EVENTS.add(
    "request held",
    Topic.REQUEST,
    "request seconds",
    "No configuration is known yet; the request waits for it, `seconds` at most.",
)
CONFIGURED = LOG_EVENTS.add(
    "configuration in force",
    Topic.BELIEF,
    "version earlier routes organisations source",
    "A newer configuration was accepted; `source` is the store or a peer.",
)
CONFIGURATION_REFUSED = LOG_EVENTS.add(
    "configuration refused",
    Topic.LIFE,
    "error",
    "The newest configuration cannot be decoded; the old one stays in force.",
    "Publish a configuration that this release understands, or upgrade.",
)
ENTRY_REFUSED = LOG_EVENTS.add(
    "endpoint entry refused",
    Topic.BELIEF,
    "error",
    "An entry of the list names no endpoint to use; logged once until it changes.",
    "Correct what the endpoint writes of itself.",
)
ZONE_EVACUATED = LOG_EVENTS.add(
    "zone evacuated",
    Topic.LIFE,
    "zone revision source endpoints",
    "The operator has evacuated a zone: its `endpoints` get no more requests; `source` is the "
    "store or the host of the daemon that reported it.",
    "None while that is intended; else delete the operator's record.",
)
ZONE_TAKEN_BACK = LOG_EVENTS.add(
    "zone taken back",
    Topic.LIFE,
    "zone revision source endpoints",
    "The operator has taken a zone back: its `endpoints` offer one slot each at first and all of "
    "them after 5 s. `source` is the store, the host of the daemon that reported it, or "
    "`restored store` where a store that came back from a copy has lacked the operator's record "
    "for 6 s.",
    "None while that is intended; else write the operator's record again.",
)
ZONE_UNKNOWN = LOG_EVENTS.add(
    "evacuated zone unknown",
    Topic.LIFE,
    "zone revision error",
    "The operator has evacuated a zone in which no endpoint was ever listed; nothing else "
    "changes. Logged once until it is taken back.",
    "Correct the zone's name in the operator's record, or delete the record.",
)
ENDPOINT_CHANGED = LOG_EVENTS.add(
    "endpoint changed",
    Topic.BELIEF,
    "endpoint service change source age",
    "An endpoint joined, drains, is gone, is back or started again under its name.",
)
ENDPOINT_SUSPECT = LOG_EVENTS.add(
    "endpoint suspect",
    Topic.BELIEF,
    "endpoint detail certain",
    "An endpoint failed requests and is avoided for a while.",
    "Look at the endpoint when many daemons suspect it.",
)
ENDPOINT_RESUMED = LOG_EVENTS.add(
    "endpoint answers again",
    Topic.BELIEF,
    "endpoint silent_ms",
    "An endpoint that was found silent `silent_ms` ago answers, so it had not failed.",
    "Look at the endpoint when this recurs: something stops it for a while.",
)
ENDPOINT_LIMITED = LOG_EVENTS.add(
    "endpoint limited",
    Topic.BELIEF,
    "endpoint limit before source",
    "An endpoint named another limit of requests a second over all daemons, or none; `source` is "
    "the endpoint itself or the host of the daemon that reported it.",
    "Look at the endpoint: it asks for relief.",
)
ENDPOINT_COLD = LOG_EVENTS.add(
    "endpoint cold",
    Topic.BELIEF,
    "endpoint seconds limit source",
    "An endpoint is cold for `seconds` and takes `limit` requests a second from all daemons "
    "meanwhile, or any number; `source` is the list, the endpoint itself or the host of the "
    "daemon that reported it.",
    "Expected after a start. If it comes back without one, look at the endpoint.",
)
ENDPOINT_WARM = LOG_EVENTS.add(
    "endpoint warm",
    Topic.BELIEF,
    "endpoint",
    "The cold time of an endpoint is over as far as this daemon knows.",
)
ENDPOINT_SLOW = LOG_EVENTS.add(
    "endpoint slow",
    Topic.BELIEF,
    "endpoint factor observations age",
    "An endpoint takes `factor` times as long to its first events as the others of its service, by "
    "`observations` of all daemons, the newest of which was heard `age` seconds ago; fewer "
    "requests go there.",
    "Look at the endpoint: see slow-endpoints.md.",
)
ENDPOINT_USUAL = LOG_EVENTS.add(
    "endpoint at usual speed",
    Topic.BELIEF,
    "endpoint",
    "An endpoint is no longer slower than the others, or there are too few observations of it.",
)
ENDPOINT_PAUSED = LOG_EVENTS.add(
    "endpoint paused",
    Topic.BELIEF,
    "endpoint seconds",
    "An endpoint turned a request away and takes none from this daemon for `seconds`.",
    "Look at the endpoint: it is short of something.",
)
ENDPOINT_SAYS_DRAINING = LOG_EVENTS.add(
    "endpoint says it drains",
    Topic.BELIEF,
    "endpoint draining source list_age",
    "An endpoint said in a response that it is about to stop, or no longer; the list may not know "
    "it yet. `source` is the endpoint, the host of the daemon that reported it, or the list.",
)
ENDPOINT_ENDED = LOG_EVENTS.add(
    "endpoint ended",
    Topic.BELIEF,
    "endpoint service requests contents parts began suspects",
    "An answer broke off and the endpoint's host refuses connections: its process has ended. "
    "`requests` of this daemon were there, `contents` name what they ask for, `parts` the parts "
    "of their prompts, `began` had begun. "
    "`suspects` have exits that nothing else explains, with their weight; 6 is proof as a rule.",
    "Look for a content or a part that recurs from one endpoint to the next: it may end them.",
)
CONNECTION_NOT_READ = LOG_EVENTS.add(
    "connection not read",
    Topic.REQUEST,
    "reason open lag_ms",
    "A caller's connection was closed before its request was read, for this daemon has more than "
    "it can serve in time; the caller may try another one.",
    "Expected while the balancer favours this daemon; else add daemons.",
)
QUARANTINE_APPLIED = LOG_EVENTS.add(
    "quarantine applied",
    Topic.REQUEST,
    "request content causes ends seconds_left",
    "The request is refused, for it has all of `causes`, a content or parts of prompts with their "
    "names, under which `ends` endpoints have ended; the refusal ends in `seconds_left`.",
    "See `content quarantined` with the same digests; OPERATIONS.md tells how to lift it.",
)
CONTENT_QUARANTINED = LOG_EVENTS.add(
    "content quarantined",
    Topic.LIFE,
    "content part together_with ends first_age last_age seconds_left",
    "Requests with this content, or with this `part` of a prompt, were at `ends` endpoints that "
    "ended, seconds ago, and nothing else explains these ends: requests that also have all of "
    "`together_with` are refused as not run for `seconds_left`.",
    "Find the requests by `content` or `quarantine` in failed lines and tell their caller; mend "
    "the engine.",
)
CONTENT_RELEASED = LOG_EVENTS.add(
    "content released",
    Topic.LIFE,
    "content part together_with ends first_age last_age seconds_left",
    "The content or part is refused no more: its time is over, it was answered, or another one "
    "explains the ends.",
)
QUARANTINE_NOT_KEPT = LOG_EVENTS.add(
    "quarantine not kept",
    Topic.LIFE,
    "content error",
    "The store did not take or hand out what is quarantined; daemons tell each other meanwhile.",
    "Look at the store; after a stop of all daemons the content is found out anew.",
)
PATH_CHANGED = LOG_EVENTS.add(
    "path changed",
    Topic.LIFE,
    "path before failed",
    "No endpoint can be reached from this host (`lost`; `failed` of them were tried), or they can "
    "be again (`open`).",
    "Look at the network between this host and the endpoints when no other daemon says so.",
)
PEER_FOUND = LOG_EVENTS.add(
    "peer found", Topic.BELIEF, "peer host", "Another daemon was heard for the first time."
)
PEER_LOST = LOG_EVENTS.add(
    "peer lost",
    Topic.BELIEF,
    "peer host",
    "A daemon, or one that speaks for a group, was silent for too long; its work counts no more.",
)
SPEAKER_CHOSEN = LOG_EVENTS.add(
    "speaker chosen",
    Topic.BELIEF,
    "speaker before known live",
    "Own work is reported to the daemon on host `speaker`, which adds it up for others; the own "
    "host speaks for itself or for a group.",
    "Frequent changes: the daemon on `before` is silent; look at its host and the ways to it.",
)
PEER_NOT_READ = LOG_EVENTS.add(
    "peer not read",
    Topic.BELIEF,
    "host error",
    "A peer knows something newer and did not hand it over; another one is asked.",
)
PLACED = LOG_EVENTS.add(
    "placed",
    Topic.REQUEST,
    "request content endpoint helpers predicted_ms waited_ms harm late reason send version "
    "list_age standing",
    "An endpoint was chosen; `helpers` read parts of the prompt.",
)
WAITING = LOG_EVENTS.add(
    "waiting",
    Topic.REQUEST,
    "request content harm late full predicted_ms yields yields_to",
    "The request waits, since now it would be late or make others late. Without `harm`, `late` and "
    "`full`, it would be split by a daemon that has just started and does not know the load of the "
    "fleet yet. If it `yields`, slots are left to waiting requests of the priority and "
    "organisation that `yields_to` names.",
)
PERMIT = LOG_EVENTS.add(
    "permit",
    Topic.REQUEST,
    "request content endpoint granted wait_ms max_wait_ms",
    "An endpoint limits its rate: the daemon that counts for all of them lets the request be sent "
    "in `wait_ms`, or has no room for it until then.",
)
FORWARDED = LOG_EVENTS.add(
    "forwarded",
    Topic.REQUEST,
    "request content host send waited_ms",
    "This host reaches no endpoint; the request went to the daemon on `host`, whose lines go on.",
)
TAKEN_OVER = LOG_EVENTS.add(
    "taken over",
    Topic.REQUEST,
    "request sender waited_ms",
    "The daemon on host `sender` reaches no endpoint and has forwarded the request.",
)
SENT_AGAIN = LOG_EVENTS.add(
    "sent again",
    Topic.REQUEST,
    "request content endpoint reason sends after_event kept budget",
    "The attempt failed or its endpoint is silent, and the request may be repeated. Attempts at "
    "the `kept` endpoints stay in progress, since a silent endpoint may go on.",
)
ATTEMPT_RESUMED = LOG_EVENTS.add(
    "attempt resumed",
    Topic.REQUEST,
    "request content endpoint ended after_event",
    "A silent endpoint goes on with the answer; the attempts at the `ended` endpoints were ended.",
    "Look for `endpoint answers again`: how long it was silent.",
)
ATTEMPT_REPLACED = LOG_EVENTS.add(
    "attempt replaced",
    Topic.REQUEST,
    "request content endpoint ended after_event",
    "The endpoint that got the request last brings the answer; the attempts at the silent `ended` "
    "endpoints were ended.",
)
REPLACEMENT_FAILED = LOG_EVENTS.add(
    "replacement failed",
    Topic.REQUEST,
    "request content endpoints reason",
    "No other endpoint serves the request; the attempts at the silent `endpoints` are waited for.",
    "Look at `reason`; the request is lost only if these endpoints stay silent.",
)
PAUSED = LOG_EVENTS.add(
    "response paused",
    Topic.REQUEST,
    "request content endpoint unsent buffered",
    "The caller reads more slowly than the endpoint sends; the endpoint waits. Once a response.",
    "None, unless many: see slow-readers.md.",
)
ANSWER_OVER_LIMIT = LOG_EVENTS.add(
    "answer over limit",
    Topic.FAILURE,
    "address limit bytes",
    "An endpoint or a daemon at `address` sent more that is no usable answer than `limit` allows; "
    "its connection was closed after `bytes`, and the answer counts as broken off.",
    "Look at what the endpoint sends: its server or a proxy in front of it is broken.",
)
ANSWER_END_CHECKED = LOG_EVENTS.add(
    "answer end checked",
    Topic.BELIEF,
    "endpoint state refused accepted same_connection",
    "An answer without a length ended with its connection, and its endpoint was asked whether the "
    "process still runs. `refused`: nothing listens there. `accepted`: it took a connection. "
    "`same_connection`: one that was open before the request was sent.",
    "If `state` is not running, the answer counts as broken off; see calling.md.",
)
PEER_MESSAGE_LATE = LOG_EVENTS.add(
    "peer message late",
    Topic.BELIEF,
    "host seconds sequence",
    "A message of `host` was read `seconds` later than usual; what it says counts as that much "
    "older.",
    "Many from all hosts: this process was suspended or is overloaded. From one: the path to it.",
)
NOT_READ = LOG_EVENTS.add(
    "response not read",
    Topic.FAILURE,
    "unsent",
    "The caller did not take its whole answer in its time; its connection was closed.",
    "Look at the caller, or at the network to it.",
)
CONNECTION_CLOSED = LOG_EVENTS.add(
    "connection closed",
    Topic.FAILURE,
    "request stage status unsent reason",
    "A connection closed under a request that no endpoint has, or that has its answer. `stage` is "
    "`reading` (the request was read in part; the caller got `status`, or nothing if it is 0), "
    "`held` (`request` waited for a configuration; the caller got nothing) or `delivering` (the "
    "answer is whole; the caller lacks at least its last `unsent` bytes).",
    "Read `reason`. Many with `the daemon stopped`: lengthen the grace time.",
)
REFUSED = LOG_EVENTS.add(
    "refused",
    Topic.FAILURE,
    "request status detail version",
    "The request was turned away before any endpoint was chosen.",
    "401: publish the key. 404: publish the route. 503: see `detail`.",
)
SERVED = LOG_EVENTS.add(
    "served",
    Topic.REQUEST,
    "request route status ms first_ms pause_ms prompt sends version sender framing partial",
    "The answer is whole; its endpoint framed it by length, in chunks or by closing the "
    "connection, and `partial` bytes followed the last complete event.",
)
LATE = LOG_EVENTS.add(
    "served late",
    Topic.FAILURE,
    "request route status ms first_ms pause_ms prompt sends version sender framing partial story",
    "The answer is whole, but its first event or a pause took longer than the route's objective.",
    "Read `story`: a high `predicted_ms` is load, a long wait after a low one is the endpoint.",
)
FAILED = LOG_EVENTS.add(
    "not served",
    Topic.FAILURE,
    "request content route outcome status detail ms first_ms prompt sends version sender gave_up "
    "story",
    "The request got no whole answer; `story` lists the decisions that led there. `gave_up` names "
    "the endpoints that were silent until the end of the request.",
    "Read `detail` first, then `story` from its end. With `gave_up`, look for `endpoint answers "
    "again` of these endpoints: they had not failed.",
)


def markdown_table() -> str:
    """Return the table of events for the operators' page."""
    rows = ["| event | fields | meaning | remedy |", "|---|---|---|---|"]
    for event in LOG_EVENTS:
        fields = ", ".join(f"`{name}`" for name in event.fields)
        rows.append(f"| {event.name} | {fields} | {event.meaning} | {event.remedy} |")
    return "\n".join(rows)
