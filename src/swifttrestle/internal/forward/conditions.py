"""Hears what upstreams say of themselves in all their answers, and keeps it."""

import asyncio
from collections import defaultdict

from swifttrestle.internal.lines import log_decision
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.state.backpressure import Backpressure
from swifttrestle.internal.state.conditions import Condition, RateWord
from swifttrestle.internal.state.fleet import Fleet, Instance
from swifttrestle.internal.transport.messages import AnswerHead
from swifttrestle.platform.backpressure import read_backpressure
from swifttrestle.platform.wire import is_of_instance, names_request

OWN = "own"


class Conditions:
    """The conditions of all starts that this host has heard of; used from the event loop alone."""

    def __init__(self, fleet: Fleet, metrics: Metrics) -> None:
        """Start with nothing heard; starts are those of `fleet`."""
        self._fleet = fleet
        self._metrics = metrics
        self._conditions: dict[str, Condition] = defaultdict(Condition)

    def hear(self, start: str, head: AnswerHead, sent_at: float) -> None:
        """Take over what an answer says; its request was sent at the loop's time `sent_at`."""
        instance = self._fleet.instances.get(start)
        if instance is not None and not is_of_instance(
            head.status, head.headers, instance.record.instance
        ):
            # Another one has its address now and speaks for itself.
            return
        said = read_backpressure(head.status, head.headers)
        for word in said.odd:
            self._metrics.count("upstream_odd_words_total")
            log_decision("upstream word not read", instance=start, word=word)
        self._hear_rate(start, said, head, sent_at)
        if said.leaving and not self._conditions[start].leaving:
            self._conditions[start].leaving = True
            log_decision("upstream says that it leaves", instance=start, source=OWN)
        if said.rest != 0.0:
            self._hear_rest(start, said.rest)

    def note_sent(self, instance: Instance) -> None:
        """Count a request that goes to an upstream, by the condition that it is in."""
        known = self._conditions.get(instance.name)
        self._metrics.count(
            "upstream_sends_total",
            service=instance.record.service,
            condition=known.name if known else "open",
        )

    def _hear_rate(self, start: str, said: Backpressure, head: AnswerHead, sent_at: float) -> None:
        known = self._conditions.get(start)
        word = known.word if known else RateWord()
        if said.rate is None and not _ends_limit(word, head, sent_at):
            return
        self._conditions[start].word = RateWord(said.rate, _now())
        if said.rate != word.rate:
            log_decision("upstream limit", instance=start, rate=said.rate, source=OWN)

    def _hear_rest(self, start: str, seconds: float | None) -> None:
        now = _now()
        condition = self._conditions[start]
        if condition.rest_until <= now:
            log_decision("upstream asks for rest", instance=start, seconds=seconds)
        self._metrics.count("upstream_rests_total")
        condition.rest_until = max(condition.rest_until, now + (seconds or 0.0))


def _ends_limit(word: RateWord, head: AnswerHead, sent_at: float) -> bool:
    """Return whether an answer that names no limit means that there is none any more.

    Others may have been on their way when the limit was named, and calls of the system itself may
    be answered without it.
    """
    return word.rate is not None and sent_at > word.at and names_request(head.headers)


def _now() -> float:
    return asyncio.get_running_loop().time()
