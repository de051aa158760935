"""Build non-streaming answers from a stream's events."""

from __future__ import annotations

import json
import logging
from dataclasses import dataclass, field

from brassdrum.errors import EndpointFailedError

__all__ = ["AnswerBuilder", "Usage"]

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Usage:
    """Hold the token counts reported by an engine."""

    prompt_tokens: int
    completion_tokens: int

    @property
    def total_tokens(self) -> int:
        """Return the sum of prompt and completion tokens."""
        return self.prompt_tokens + self.completion_tokens

    @classmethod
    def from_event(cls, data: bytes) -> Usage | None:
        """Return the usage reported in an event, or None."""
        if b'"usage"' not in data:
            return None
        try:
            usage = json.loads(data).get("usage")
            return cls(int(usage.get("prompt_tokens", 0)), int(usage.get("completion_tokens", 0)))
        except (ValueError, TypeError, AttributeError, RecursionError) as error:
            # An answer without a readable usage is still an answer.
            _logger.debug("unreadable usage", extra={"reason": str(error)})
            return None


@dataclass(slots=True)
class _Choice:
    texts: list[str] = field(default_factory=list)
    finish_reason: str | None = None


class AnswerBuilder:
    """Accumulate a stream's events into one non-streaming answer."""

    def __init__(self, model: str, *, chat: bool) -> None:
        self._model = model
        self._chat = chat
        self._id = ""
        self._created = 0
        self._usage: dict | None = None
        self._choices_by_index: dict[int, _Choice] = {}

    def add(self, data: bytes) -> None:
        """Add one event; raise ``EndpointFailedError`` if it is not one of an answer."""
        try:
            self._add(json.loads(data))
        except (ValueError, TypeError, AttributeError, RecursionError) as error:
            raise EndpointFailedError(
                "The endpoint sent an event that is not part of an answer."
            ) from error

    def _add(self, content: dict) -> None:
        self._id = content.get("id", self._id)
        self._created = content.get("created", self._created)
        self._usage = content.get("usage") or self._usage
        for choice_delta in content.get("choices", []):
            choice = self._choices_by_index.setdefault(choice_delta.get("index", 0), _Choice())
            text = (
                choice_delta.get("delta", {}).get("content")
                if self._chat
                else choice_delta.get("text")
            )
            if text:
                choice.texts.append(_checked_text(text))
            choice.finish_reason = choice_delta.get("finish_reason") or choice.finish_reason

    def build(self) -> dict[str, object]:
        """Return the complete answer."""
        answer: dict[str, object] = {
            "id": self._id,
            "object": "chat.completion" if self._chat else "text_completion",
            "created": self._created,
            "model": self._model,
            "choices": [
                self._choice(index, choice)
                for index, choice in sorted(self._choices_by_index.items())
            ],
        }
        if self._usage is not None:
            answer["usage"] = self._usage
        return answer

    def _choice(self, index: int, choice: _Choice) -> dict[str, object]:
        text = "".join(choice.texts)
        content: dict[str, object] = {"index": index, "finish_reason": choice.finish_reason}
        if self._chat:
            content["message"] = {"role": "assistant", "content": text}
        else:
            content["text"] = text
            content["logprobs"] = None
        return content


def _checked_text(text: object) -> str:
    if not isinstance(text, str):
        raise TypeError(f"the text is of type {type(text).__name__}")
    return text
